#!/usr/bin/env python3
"""Hunts deployments that nobody has described: variations of a site file of the users' bench.

    tools/vary_sites.py BENCH SITE [--days N] [--only WORD] [--jobs N]

BENCH is the users' program, SITE one of their site files. The varied copies lie in a scratch folder beside a copy of
the wire file and stay outside the repository. Prints, for each variation, the days with a broken rule.
"""
import argparse
import pathlib
import re
import shutil
import subprocess
import tempfile


def setting(name, value):
    """Replaces every `name = number` by the value."""
    return lambda text: re.sub(rf"(\b{name} = )[-\d.]+", rf"\g<1>{value}", text)


def scaled(name, factor):
    """Multiplies every `name = number`."""
    return lambda text: re.sub(rf"(\b{name} = )([\d.]+)", lambda m: f"{m[1]}{float(m[2]) * factor:.4g}", text)


def counted(name, factor):
    """Multiplies every `name = whole number`, one at least."""
    return lambda text: re.sub(rf"(\b{name} = )(\d+)\b(?!\.)",
                               lambda m: f"{m[1]}{max(1, round(int(m[2]) * factor))}", text)


def one_machine_a_zone(text):
    return re.sub(r'(class = "front".*?count = )\d+', r"\g<1>1", text)


def more_machines(text):
    return re.sub(r'(class = "front".*?count = )(\d+)', lambda m: f"{m[1]}{int(m[2]) * 3}", text)


VARIATIONS = {
    "slow-processors": [setting("cpu_share", 0.12)],
    "fast-processors": [setting("cpu_share", 0.5)],
    "little-memory": [setting("memory_mb", 160)],
    "few-descriptors": [setting("fds", 600)],
    "thin-links": [lambda text: text.replace("link_mbps = 1000.0, zone", "link_mbps = 10.0, zone")],
    "one-machine-a-zone": [one_machine_a_zone],
    "three-times-the-machines": [more_machines],
    "far-zones": [setting("cross_zone_ms", 5.0), setting("client_ms", 8.0)],
    "near-zones": [setting("cross_zone_ms", 0.2), setting("client_ms", 0.3)],
    "tight-bounds": [setting("drain_ms", 1200), setting("config_ms", 1200), setting("grace_s", 5.0)],
    "loose-bounds": [setting("drain_ms", 4000), setting("config_ms", 5000), setting("grace_s", 15.0)],
    "small-budget": [setting("budget_slack", 15.0)],
    "poor-store": [setting("writes_per_s", 20.0), setting("reads_per_s", 60.0)],
    "many-tenants": [lambda text: text.replace("[tenants]\ncount = 10", "[tenants]\ncount = 60")],
    "little-kv": [setting("kv_tokens", 130000)],
    "few-slots": [setting("slots", 16), setting("batch", 16), setting("queue", 24)],
    "few-connections": [setting("conn_cap", 40)],
    "many-subjects": [counted("things", 8)],
    "few-subjects": [counted("things", 0.2)],
    "twice-the-traffic": [scaled("per_s", 2.0)],
    "four-times-the-traffic": [scaled("per_s", 4.0)],
    "little-traffic": [scaled("per_s", 0.3)],
    "short-timeouts": [setting("timeout_ms", 1500)],
    "one-attempt": [setting("attempts", 1)],
    "three-attempts": [setting("attempts", 3)],
    "long-streams": [lambda text: re.sub(r"(pieces = \{ mean = )([\d.]+)(, spread = [\d.]+, max = )([\d.]+)",
                                         lambda m: f"{m[1]}{float(m[2]) * 3}{m[3]}{float(m[4]) * 3}", text)],
    "slow-store": [lambda text: text.replace("[platform]\n", "[platform]\nanswer_ms = 40.0\n")],
    "soon-again": [setting("lead_s", 4.0)],
    "two-regions": [lambda text: re.sub(r'(\{ name = "[^"]+", region = ")[^"]+(" \},\n\])', r"\g<1>elsewhere\g<2>", text)],
    "slow-starts": [setting("cold_s", 8.0), setting("cold_per_s", 4.0)],
}


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--days", type=int, default=40)
    parser.add_argument("--only", default="")
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    site = pathlib.Path(options.site)
    text = site.read_text()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="varied-sites-"))
    shutil.copy(site.parent / "wire.json", folder / "wire.json")
    for name, changes in VARIATIONS.items():
        if options.only not in name:
            continue
        varied = text
        for change in changes:
            varied = change(varied)
        path = folder / f"{site.stem}-{name}.toml"
        path.write_text(varied)
        run = subprocess.run([options.bench, "hunt", str(path), "--days", str(options.days), "--jobs",
                              str(options.jobs), "--why", f"variation {name} of {site.stem}"],
                             capture_output=True, text=True)
        lines = (run.stdout + run.stderr).splitlines()
        broken = [line for line in lines if "BROKEN" in line]
        worths = [float(m[1]) for m in (re.match(r".*\s\d+/\d+\s+\S+\s+(-?[\d.]+)\s", line) for line in lines) if m]
        mean = sum(worths) / len(worths) if worths else float("nan")
        print(f"{name}: {len(worths)} days, {len(broken)} broken, mean worth {mean:.3f}", flush=True)
        if not worths:
            print("   ", "\n    ".join(lines[-3:]))
        for line in broken[:6]:
            print("   ", line[:200])
        if broken:
            first = next((place for place, line in enumerate(lines) if "the first that is wrong" in line), None)
            if first is not None:
                print("\n".join("      " + line[:180] for line in lines[first:first + 9]), flush=True)


if __name__ == "__main__":
    main()
