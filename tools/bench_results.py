"""Writes benchmark results as JSON and compares them with earlier results.

bench_results.py --write FILE RESULTS     writes the benchmark lines of RESULTS as a JSON array
bench_results.py --against FILE RESULTS   prints the ratio of each value to its value in FILE
"""

import argparse
import json

# Keys that together identify a benchmark; several benchmarks share a name.
IDENTITY = ("name", "policy", "traffic", "fault", "daemons", "services", "endpoints")


def read_lines(path):
    entries = []
    with open(path, encoding="utf-8") as file:
        for line in file:
            if not line.startswith("event=bench "):
                continue
            pairs = dict(word.split("=", 1) for word in line.split() if "=" in word)
            del pairs["event"]
            entries.append(pairs)
    return entries


def identity_of(entry):
    return " ".join(f"{key}={entry[key]}" for key in IDENTITY if key in entry)


def as_number(text):
    try:
        return float(text)
    except ValueError:
        return None


def compare(earlier, later):
    known = {identity_of(entry): entry for entry in earlier}
    for entry in later:
        before = known.get(identity_of(entry))
        if before is None:
            print(f"event=ratio {identity_of(entry)} result=new")
            continue
        ratios = []
        for key, text in entry.items():
            new, old = as_number(text), as_number(before.get(key, ""))
            if key in IDENTITY or new is None or old is None or old == 0:
                continue
            ratios.append(f"{key}={new / old:.3g}")
        print(f"event=ratio {identity_of(entry)} " + " ".join(ratios))


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--write")
    parser.add_argument("--against")
    parser.add_argument("results")
    options = parser.parse_args()
    entries = read_lines(options.results)
    if options.write:
        with open(options.write, "w", encoding="utf-8") as file:
            json.dump(entries, file, indent=1)
            file.write("\n")
    if options.against:
        with open(options.against, encoding="utf-8") as file:
            compare(json.load(file), entries)


if __name__ == "__main__":
    main()
