#!/usr/bin/env python3
"""Compares builds on the same days and seeds of the users' bench, in pairs with the first one.

    tools/compare_builds.py BENCH CLONE,CLONE[,CLONE...] SITE... [--days DAY,...] [--seeds N] [--jobs N] [--why TEXT]
                            [--plot FILE]

BENCH is the users' program, each CLONE is a clone of this repository that it builds and plays in, SITE are their site
files. Each day (names of the site's own, or files) is played with each seed by all, processor time not counted.
Prints, for each site and figure, the mean of the first clone and the paired change of each other one with its standard
error; then each rule that broke. The entries of all journals are to be committed.
"""
import argparse
import concurrent.futures
import json
import math
import pathlib
import subprocess
import sys
import time
import uuid


def play(bench, clone, site, day, seed, why):
    mark = uuid.uuid4().hex[:8]
    began = time.time()
    command = [bench, "run", str(site), day, "--no-cpu", "--why", f"{why} [{mark}]"]
    run = subprocess.run(command + (["--seed", str(seed)] if seed else []), cwd=clone, capture_output=True, text=True)
    for entry in sorted((clone / "journal").glob("*.json"), key=lambda path: -path.stat().st_mtime):
        if entry.stat().st_mtime < began - 1:
            break
        text = entry.read_text()
        if mark in text:
            return json.loads(text)["days"][0], entry
    sys.exit(f"{site} {day} {seed}: no journal entry\n{run.stdout[-500:]}{run.stderr[-500:]}")


def figures(day):
    named = {"worth": day["G"], "served": day["served"], "refused": day["refused"], "failed": day["failed"]}
    named |= {part: value for part, weight, value in day["parts"]}
    named |= {"price: " + name: share for name, amount, share in day["prices"]}
    return named


def spread(values):
    mean = sum(values) / len(values)
    if len(values) < 2:
        return mean, math.nan
    variance = sum((value - mean) ** 2 for value in values) / (len(values) - 1)
    return mean, math.sqrt(variance / len(values))


def table(site, names, rounds):
    """A line for each figure; a round holds the same day of each clone."""
    print(f"\n{site}: {len(rounds)} days")
    print(f"{'':42}{names[0]:>10}" + "".join(f"{name:>20}" for name in names[1:]))
    for name in figures(rounds[0][0]):
        values = [[figures(day).get(name, 0) for day in days] for days in rounds]
        if max(abs(value) for row in values for value in row) < 0.0005:
            continue
        line = f"{name:42}{spread([row[0] for row in values])[0]:10.4f}"
        for place in range(1, len(names)):
            change, error = spread([row[place] - row[0] for row in values])
            line += f"{change:+12.4f} +-{error:.4f}"
        print(line)


def plot(path, names, results):
    """Worth of the first clone against that of each other one, a point for each day."""
    colours = ["#246", "#a42", "#283", "#727"]
    points = [(days[0]["G"], day["G"], colours[place % len(colours)], f"{names[place + 1]} {site} {day['name']}")
              for site, rounds in results.items() for days in rounds for place, day in enumerate(days[1:])]
    low = min(min(x, y) for x, y, _, _ in points) - 0.02
    high = max(max(x, y) for x, y, _, _ in points) + 0.02
    place = lambda value: 40 + 400 * (value - low) / (high - low)
    dots = "".join(f'<circle cx="{place(x):.1f}" cy="{480 - place(y):.1f}" r="4" fill="{colour}"><title>{label}</title>'
                   f"</circle>" for x, y, colour, label in points)
    path.write_text(f'<svg xmlns="http://www.w3.org/2000/svg" width="480" height="500"><line x1="40" y1="440" x2="440" '
                    f'y2="40" stroke="#999"/>{dots}<text x="150" y="490">worth, {names[0]}</text>'
                    f'<text x="10" y="20">worth, the others ({low:.2f} to {high:.2f})</text></svg>\n')


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bench")
    parser.add_argument("clones")
    parser.add_argument("sites", nargs="+", type=pathlib.Path)
    parser.add_argument("--days", default="quiet-1,trouble-1,scale-1,trouble-2,scale-2,trouble-3")
    parser.add_argument("--seeds", type=int, default=1, help="the first is the day's own")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--why", default="builds compared")
    parser.add_argument("--plot", type=pathlib.Path)
    options = parser.parse_args()
    clones = [pathlib.Path(clone).resolve() for clone in options.clones.split(",")]
    names = [clone.name for clone in clones]
    for clone in clones:
        subprocess.run([options.bench, "build"], cwd=clone, check=True, capture_output=True)
    plays = [(site.resolve(), day, 1000 * place)
             for site in options.sites for day in options.days.split(",") for place in range(options.seeds)]
    results, broken = {}, []
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        done = {item: [pool.submit(play, options.bench, clone, *item, f"{options.why}: {clone.name}")
                       for clone in clones] for item in plays}
        for (site, day, seed), futures in done.items():
            days = [future.result()[0] for future in futures]
            results.setdefault(site.stem, []).append(days)
            broken += [f"{site.stem} {day} {seed} {name}: {one['rules'] or one['fault']}"
                       for name, one in zip(names, days) if one["rules"] or one["fault"]]
    for site, rounds in results.items():
        table(site, names, rounds)
    print("\nbroken: " + ("none" if not broken else "\n  ".join([""] + broken)))
    if options.plot:
        plot(options.plot, names, results)


if __name__ == "__main__":
    main()
