#!/usr/bin/env python3
"""Writes docs/CAPACITY.md from the figures beside this file; --check only compares.

figures.jsonl holds the points of bench/capacity.sh, one JSON object a line; the *.txt files hold what the benchmarks printed;
text.md holds the prose, with a line `@points KIND` or `@output NAME` where a table or an output belongs.
"""
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
PAGE = FOLDER.parent / "CAPACITY.md"

COLUMNS = {
    "idle": ["domains", "nodes", "workers", "plans", "core_percent", "client_bytes_per_second", "resident_mb"],
    "load": ["jobs_per_second", "core_percent", "client_bytes_per_second", "resident_mb"],
}


def read_points(kind):
    lines = (FOLDER / "figures.jsonl").read_text().splitlines()
    points = [json.loads(line) for line in lines if line.strip()]
    return [point for point in points if point["kind"] == kind]


def format_table(kind):
    columns = COLUMNS[kind]
    rows = ["| " + " | ".join(name.replace("_", " ") for name in columns) + " |", "|" + " ---: |" * len(columns)]
    rows += ["| " + " | ".join(str(point[name]) for name in columns) + " |" for point in read_points(kind)]
    return rows


def format_output(name):
    return ["```"] + (FOLDER / f"{name}.txt").read_text().rstrip().splitlines() + ["```"]


def build_page():
    lines = []
    for line in (FOLDER / "text.md").read_text().splitlines():
        if line.startswith("@points "):
            lines += format_table(line.split()[1])
        elif line.startswith("@output "):
            lines += format_output(line.split()[1])
        else:
            lines.append(line)
    return "\n".join(lines) + "\n"


def main():
    page = build_page()
    if "--check" not in sys.argv:
        PAGE.write_text(page)
        return 0
    if PAGE.read_text() == page:
        return 0
    print("docs/CAPACITY.md differs from its figures; run docs/capacity/page.py", file=sys.stderr)
    return 1


if __name__ == "__main__":
    sys.exit(main())
