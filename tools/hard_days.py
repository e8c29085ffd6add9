#!/usr/bin/env python3
"""Plays days of our own on the users' bench: each kind of trouble alone, twice, and piled up with others.

    tools/hard_days.py BENCH SITE [--pairs] [--jobs N] [--only WORD]

BENCH is the users' program, SITE one of their site files; both stay outside the repository. Each day is written
into a scratch folder as the site file writes its days. Prints the days in which a rule broke.
"""
import argparse
import concurrent.futures
import json
import pathlib
import re
import subprocess
import tempfile
import tomllib
import zlib

# Kinds beside those that the site lists, and variants that it doesn't use.
EXTRA = [
    {"kind": "srv_cut", "share": 0.3, "for_s": 5, "side": "faults"},
    {"kind": "srv_cut", "share": 0.3, "for_s": 5, "how": "fronts"},
    {"kind": "srv_cut", "share": 0.3, "for_s": 5, "how": "some"},
    {"kind": "srv_cut", "share": 0.3, "for_s": 5, "how": "one_way"},
    {"kind": "srv_cut", "share": 0.3, "for_s": 5, "how": "reset"},
    {"kind": "replace_with_reuse", "share": 0.3},
    {"kind": "replace_with_reuse", "share": 0.3, "how": "drain"},
    {"kind": "replace_with_reuse", "share": 0.3, "how": "dark"},
    {"kind": "node_slow", "share": 0.3, "x": 5, "for_s": 6},
    {"kind": "hup", "share": 1.0, "gap_s": 0.5},
    {"kind": "reset_conns", "share": 0.5, "x": 0.7},
    {"kind": "srv_grey", "share": 0.4, "x": 0.5, "for_s": 6, "how": "errors"},
    {"kind": "srv_grey", "share": 0.4, "x": 0.5, "for_s": 6, "how": "shed"},
    {"kind": "srv_grey", "share": 0.4, "x": 0.5, "for_s": 6, "how": "busy"},
    {"kind": "srv_grey", "share": 0.4, "x": 0.5, "for_s": 6, "how": "hang"},
    {"kind": "srv_grey", "share": 0.4, "x": 0.5, "for_s": 6, "how": "reset"},
    {"kind": "srv_grey", "share": 0.4, "x": 0.5, "for_s": 6, "how": "mute"},
    {"kind": "srv_grey", "share": 0.4, "x": 8, "for_s": 6, "how": "slow"},
    {"kind": "srv_crash", "share": 0.4, "for_s": 4, "how": "dark"},
    {"kind": "srv_crash", "share": 0.4, "for_s": 4, "how": "gone"},
    {"kind": "garble", "share": 0.8, "x": 0.1, "for_s": 6, "how": "extra"},
    {"kind": "garble", "share": 0.8, "x": 0.1, "for_s": 6, "how": "extra late"},
    {"kind": "garble", "share": 0.8, "x": 0.1, "for_s": 6, "how": "unframed"},
    {"kind": "garble", "share": 0.8, "x": 0.1, "for_s": 6, "how": "early"},
    {"kind": "garble", "share": 0.8, "x": 0.1, "for_s": 6, "how": "rot"},
    {"kind": "answer_lost", "share": 1.0, "x": 0.2, "for_s": 6},
    {"kind": "answer_lost", "share": 1.0, "x": 0.2, "for_s": 6, "how": "reset"},
    {"kind": "scale_in", "share": 0.3, "how": "spot"},
    {"kind": "scale_in", "share": 0.3, "how": "reclaim", "for_s": 8},
    {"kind": "herd_kill", "share": 1.0, "how": "power", "for_s": 3},
    {"kind": "herd_kill", "share": 0.8, "for_s": 2},
    {"kind": "node_freeze", "share": 0.4, "for_s": 6},
    {"kind": "node_freeze", "share": 0.4, "for_s": 6, "how": "meet"},
    {"kind": "node_kill", "share": 0.5, "how": "power", "for_s": 3},
    {"kind": "node_cut", "share": 0.4, "for_s": 7, "how": "all"},
    {"kind": "node_cut", "share": 0.4, "for_s": 7, "how": "servers"},
    {"kind": "node_cut", "share": 0.4, "for_s": 9, "how": "reset revoke meet"},
    {"kind": "node_cut", "share": 0.4, "for_s": 7, "how": "meet drain"},
    {"kind": "core_cut", "count": 2, "for_s": 7, "how": "all"},
    {"kind": "core_cut", "count": 2, "for_s": 7, "how": "one_way"},
    {"kind": "core_cut", "count": 2, "for_s": 7, "how": "meet drain"},
    {"kind": "platform_down", "for_s": 9, "how": "silent"},
    {"kind": "platform_down", "for_s": 9, "how": "busy"},
    {"kind": "platform_down", "for_s": 9, "how": "reset"},
    {"kind": "platform_down", "for_s": 9, "how": "silent lapse"},
    {"kind": "platform_down", "for_s": 9, "how": "nodes busy revoke", "share": 0.6},
    {"kind": "platform_down", "for_s": 9, "how": "nodes reset revoke meet drain", "share": 0.6},
    {"kind": "platform_down", "for_s": 9, "how": "nodes many leader", "share": 0.6},
    {"kind": "platform_slow", "x": 150, "for_s": 8},
    {"kind": "platform_lost", "x": 0.8, "for_s": 8, "how": "late"},
    {"kind": "platform_compact", "x": 6, "for_s": 12},
    {"kind": "clock_step", "share": 0.6, "x": 9000, "for_s": 6, "how": "ahead"},
    {"kind": "clock_step", "share": 0.6, "x": 9000, "for_s": 6, "how": "back"},
    {"kind": "zone_cut", "for_s": 8, "how": "reset"},
    {"kind": "zone_cut", "for_s": 8, "how": "refuse"},
    {"kind": "zone_cut", "for_s": 8, "how": "drop"},
    {"kind": "lossy", "x": 0.15, "for_s": 6},
    {"kind": "retry_abuse", "x": 8, "share": 0.8, "for_s": 6},
    {"kind": "give_up", "share": 0.8, "for_s": 6},
    {"kind": "give_up", "share": 0.8, "for_s": 6, "x": 30},
    {"kind": "burst", "x": 5, "for_s": 4},
    {"kind": "hot_tenant", "x": 20, "for_s": 6, "count": 1},
    {"kind": "hot_key", "share": 0.9, "for_s": 6},
    {"kind": "after_ack_kill", "count": 2, "for_s": 3, "how": "timed"},
    {"kind": "after_ack_kill", "count": 2, "for_s": 3, "how": "kill"},
    {"kind": "roll_term", "share": 1.0, "gap_s": 1.0, "how": "busy"},
    {"kind": "roll_term", "share": 1.0, "x": 2, "gap_s": 1.0},
    {"kind": "config_storm", "for_s": 6, "gap_s": 0.08},
    {"kind": "big_config", "count": 1500},
    {"kind": "revoke", "count": 4, "gap_s": 0.2, "how": "last"},
    {"kind": "release", "share": 1.0, "x": 2, "gap_s": 1.0},
    {"kind": "release", "share": 1.0, "x": 1, "gap_s": 1.0, "service": 1},
]
PLANNED = {"config_change", "config_storm", "big_config", "revoke", "release", "scale_out", "scale_in",
           "roll_term", "add_nodes", "hup"}
CLOSINGS = [None, {"kind": "kill_all", "down_s": 1.0}, {"kind": "power_off_all", "down_s": 1.5},
            {"kind": "power_off_all", "down_s": 1.0, "how": "taken"}]


def toml_value(value):
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {toml_value(inner)}" for key, inner in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(toml_value(inner) for inner in value) + "]"
    return json.dumps(value)


def entries(site):
    services = [service["name"] for service in site["services"]]
    for trouble in site["troubles"] + EXTRA:
        trouble = {key: value for key, value in trouble.items() if key != "side"}
        if isinstance(trouble.get("service"), int):
            trouble["service"] = services[trouble["service"]]
        yield trouble


def day_text(site, name, seed, troubles, closing):
    base = next(day for day in site["day"] if day.get("slot") == "trouble")
    day = {key: base[key] for key in ("one", "zero", "goal", "floor_classes", "floor_zones", "wall", "traffic")}
    day |= {"name": name, "slot": "trouble", "seed": seed, "length_s": 41.0 if closing else 34.0, "light": False}
    if closing:
        day["closing"] = closing
    day["plan"] = [trouble for trouble in troubles if trouble["kind"] in PLANNED]
    day["faults"] = [trouble for trouble in troubles if trouble["kind"] not in PLANNED]
    # The bench's own days have their goal as a table and the lists inline.
    return "".join(f"{key} = {toml_value(value)}\n" for key, value in day.items())


def label(trouble):
    return (trouble["kind"] + "-" + trouble.get("how", "")).replace(" ", "_").strip("-")


def days(site, pairs):
    kinds = list(entries(site))
    for place, trouble in enumerate(kinds):
        name = f"{place}-{label(trouble)}"
        yield name, [trouble | {"at": 8.0}, trouble | {"at": 21.0}], None
        yield name + "-early-late", [trouble | {"at": 0.3}, trouble | {"at": 30.5}], CLOSINGS[1 + place % 3]
    if not pairs:
        return
    zone = site["zones"][-1]["name"]
    piles = [
        [{"kind": "zone_cut", "for_s": 7, "how": "drop", "zone": zone, "at": 9.0}],
        [{"kind": "herd_kill", "share": 0.6, "for_s": 2, "at": 9.5}],
        [{"kind": "platform_down", "for_s": 7, "how": "silent", "at": 9.0}],
        [{"kind": "platform_down", "for_s": 8, "how": "nodes many revoke meet", "share": 0.4, "at": 9.0}],
        [{"kind": "roll_term", "share": 1.0, "gap_s": 1.5, "at": 7.0}],
        [{"kind": "release", "share": 0.6, "x": 1.0, "gap_s": 1.0, "at": 8.0}, {"kind": "srv_crash", "share": 0.25,
          "for_s": 4, "how": "dark", "at": 9.0}],
        [{"kind": "burst", "x": 3, "for_s": 6, "at": 9.0}, {"kind": "retry_abuse", "x": 4, "share": 0.6, "for_s": 6,
          "at": 9.0}],
    ]
    for place, trouble in enumerate(kinds):
        for number, pile in enumerate(piles):
            yield f"{place}-{label(trouble)}-with-{number}", pile + [trouble | {"at": 10.0}], None


def play(bench, site_path, folder, name, text):
    path = pathlib.Path(folder) / (re.sub(r"[^a-z0-9_-]", "_", name) + ".toml")
    path.write_text(text)
    run = subprocess.run([bench, "run", site_path, str(path), "--seed", str(zlib.crc32(name.encode()) % 100000),
                          "--why", f"hard days: {name}"], capture_output=True, text=True)
    broken = [line for line in (run.stdout + run.stderr).splitlines() if "BROKEN" in line or "error" in line.lower()
              and "fleetbench" in line or "FAULT" in line]
    return name, path, broken, run.returncode, run.stdout + run.stderr


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--pairs", action="store_true", help="also each kind together with each of seven piles")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--only", default="", help="only days whose name has this word")
    options = parser.parse_args()
    site = tomllib.loads(pathlib.Path(options.site).read_text())
    folder = tempfile.mkdtemp(prefix="hard-days-")
    chosen = [(name, day_text(site, name, 1, troubles, closing))
              for name, troubles, closing in days(site, options.pairs) if options.only in name]
    bad = 0
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        for name, path, broken, code, output in pool.map(
                lambda item: play(options.bench, options.site, folder, *item), chosen):
            if broken or code != 0:
                bad += 1
                print(f"{name} ({path}), exit {code}")
                for line in broken or output.splitlines()[-4:]:
                    print("   ", line[:220])
    print(f"{len(chosen)} days, {bad} with something wrong")


if __name__ == "__main__":
    main()
