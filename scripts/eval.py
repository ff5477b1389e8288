#!/usr/bin/env python3
"""Plays days of the users' deployments with several seeds and prints one table.

    scripts/eval.py FLEETBENCH --why TEXT [--seeds 11,12,13,14] [--days trouble-1,...] [--jobs 4] SITE...

Without --days, every trouble and scale day of each site is played. Processor time is not charged, so
that a seed mostly repeats. Columns: mean worth, mean nines, unserved requests and broken rules of
all seeds, and the worth of each seed.
"""

import argparse
import concurrent.futures
import json
import pathlib
import re
import subprocess
import tempfile


def days_of(site):
    """Returns the names of the trouble and scale days of a site file."""
    names = re.findall(r'^name = "((?:trouble|scale)-\d+)"', site.read_text(), re.MULTILINE)
    return sorted(names)


def play(bench, site, day, seed, why):
    """Plays one day and returns its report, or the end of the output if the run failed."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [bench, "run", str(site), day, "--seed", str(seed), "--no-cpu"]
        command += ["--report", report.name, "--why", f"{why} (seed {seed})"]
        run = subprocess.run(command, capture_output=True, text=True)
        text = pathlib.Path(report.name).read_text()
        return json.loads(text) if text else run.stderr[-300:] + run.stdout[-300:]


def nines_of(report):
    return next((part[2] for part in report["parts"] if part[0] == "nines"), float("nan"))


def print_row(name, reports):
    worths = [report["G"] for report in reports]
    count = len(worths)
    unserved = sum(report["all"]["failed"] + report["all"]["refused"] for report in reports)
    broken = sorted({rule for report in reports for rule in report["breaks"]})
    nines = sum(map(nines_of, reports)) / count
    seeds = " ".join(f"{worth:.3f}" for worth in worths)
    print(f"{name:36} {sum(worths) / count:.4f} {nines:6.3f} {unserved:8} {','.join(broken) or '-':>8}  {seeds}")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("bench")
    parser.add_argument("sites", nargs="+", type=pathlib.Path)
    parser.add_argument("--why", required=True)
    parser.add_argument("--seeds", default="11,12,13,14")
    parser.add_argument("--days")
    parser.add_argument("--jobs", type=int, default=4)
    args = parser.parse_args()
    seeds = args.seeds.split(",")
    print(f"{'site and day':36} {'worth':6} {'nines':6} {'unserved':8} {'broken':>8}  seeds {args.seeds}")
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        plays = {}
        for site in args.sites:
            for day in args.days.split(",") if args.days else days_of(site):
                runs = [pool.submit(play, args.bench, site, day, seed, args.why) for seed in seeds]
                plays[site, day] = runs
        for site in args.sites:
            of_site = []
            for (_, day), runs in ((key, runs) for key, runs in plays.items() if key[0] == site):
                reports = [run.result() for run in runs]
                for report in reports:
                    if isinstance(report, str):
                        print(f"{site.stem} {day}: not played: {report}")
                reports = [report for report in reports if isinstance(report, dict)]
                if reports:
                    print_row(f"{site.stem} {day}", reports)
                of_site += reports
            if of_site:
                print_row(f"{site.stem}, all", of_site)


main()
