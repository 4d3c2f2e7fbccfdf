#!/usr/bin/env python3
"""Compares the catalogue docs/events.md with the log events that event.h defines. Fails on any difference."""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEADER = ROOT / "Libraries/base/include/siskinwharf/base/event.h"
CATALOGUE = ROOT / "docs/events.md"

DEFINITION = re.compile(r"inline constexpr event_kind (\w+)\{(.*?)\};", re.DOTALL)
FIELDS = re.compile(r'\s*(\d+),\s*event_level::(\w+),\s*"([^"]*)",\s*((?:"[^"]*"\s*)+)')
LIST = re.compile(r"inline constexpr std::array all\{(.*?)\};", re.DOTALL)
ROW = re.compile(r"\| *\d")
COLUMNS = ("number", "level", "name", "meaning", "written")


def read_header(text, faults):
    """Returns number -> (level, name, meaning) for each event of the header."""
    events = {}
    identifiers = []
    for identifier, body in DEFINITION.findall(text):
        fields = FIELDS.fullmatch(body)
        if fields is None:
            faults.append(f"event.h: the definition of {identifier} cannot be read")
            continue
        number, level, name = int(fields[1]), fields[2], fields[3]
        meaning = "".join(re.findall(r'"([^"]*)"', fields[4]))
        if identifier != name:
            faults.append(f"event.h: {identifier} has the name {name}")
        if number in events:
            faults.append(f"event.h: number {number} is used twice")
        events[number] = (level, name, meaning)
        identifiers.append(identifier)
    # A definition that the pattern misses would otherwise drop out of the comparison without a fault.
    if len(identifiers) != len(re.findall(r"event_kind\s+\w+\s*[{=(]", text)):
        faults.append("event.h: not every event_kind definition could be read")
    listed = LIST.search(text)
    names = re.findall(r"\w+", listed[1]) if listed else []
    if names != identifiers:
        faults.append("event.h: the array 'all' does not list the events in the order of their definitions")
    return events


def read_catalogue(text, faults):
    """Returns number -> (level, name, meaning, written) for each table row of the catalogue."""
    events = {}
    previous = 0
    for line_number, line in enumerate(text.splitlines(), 1):
        if not ROW.match(line):
            continue
        cells = [cell.strip().strip("`") for cell in line.strip().strip("|").split("|")]
        if len(cells) != len(COLUMNS) or not cells[0].isdigit():
            faults.append(f"events.md line {line_number}: a row has the columns {', '.join(COLUMNS)}")
            continue
        number = int(cells[0])
        if number <= previous:
            faults.append(f"events.md line {line_number}: number {number} does not follow {previous}")
        previous = number
        events[number] = tuple(cells[1:])
    return events


def written_events():
    """Returns the names of the events that a library or service refers to."""
    names = set()
    for directory in ("Libraries", "Services"):
        for path in (ROOT / directory).rglob("*"):
            if path.suffix in (".cpp", ".h") and path != HEADER and "tests" not in path.parts:
                names.update(re.findall(r"\bevent::(\w+)", path.read_text(encoding="utf-8")))
    return names


def compare(defined, listed, written):
    """Returns one fault for each difference."""
    faults = []
    for number in sorted(defined.keys() | listed.keys()):
        if number not in listed:
            faults.append(f"events.md: event {number} {defined[number][1]} is missing")
        elif number not in defined:
            faults.append(f"events.md: event {number} {listed[number][1]} is not in event.h")
        else:
            name = defined[number][1]
            expected = (*defined[number], "yes" if name in written else "no")
            for column, found, wanted in zip(COLUMNS[1:], listed[number], expected):
                if found != wanted:
                    faults.append(f'events.md: event {number}: {column} is "{found}", in the code "{wanted}"')
    return faults


def main():
    faults = []
    defined = read_header(HEADER.read_text(encoding="utf-8"), faults)
    listed = read_catalogue(CATALOGUE.read_text(encoding="utf-8"), faults)
    if not defined:
        faults.append("event.h: no event was found")
    faults += compare(defined, listed, written_events())
    for fault in faults:
        print(fault, file=sys.stderr)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
