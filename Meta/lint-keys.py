#!/usr/bin/env python3
"""Prints "key<TAB>file" for each source file given on standard input.

The key changes with the content of the file, of the project's headers that it includes directly or not, and of the
linter's configuration. The headers come from what the compiler recorded in the build directory; a file that has not
been compiled depends on all headers. Usage: lint-keys.py BUILD_DIRECTORY < FILES
"""
import hashlib
import os
import subprocess
import sys

CONFIGURATION = ".clang-tidy"


def run(*arguments):
    return subprocess.run(arguments, capture_output=True, text=True, check=True).stdout.splitlines()


def digest_of(path):
    with open(path, "rb") as file:
        return hashlib.sha256(file.read()).hexdigest()


def recorded_dependencies(build, root):
    """Maps each source file to the files of the project on which its objects depend."""
    dependencies = {}
    current = []
    for line in run("ninja", "-C", build, "-t", "deps"):
        if not line.startswith(" "):
            current = []
            continue
        path = os.path.relpath(os.path.join(build, line.strip()), root)
        if path.startswith(".."):
            continue
        if path.endswith(".cpp"):
            current = dependencies.setdefault(path, set())
        elif isinstance(current, set):
            current.add(path)
    return dependencies


def main():
    root = os.getcwd()
    build = os.path.abspath(sys.argv[1])
    dependencies = recorded_dependencies(build, root)
    headers = set(run("git", "ls-files", "--cached", "--others", "--exclude-standard", "--", "*.h"))
    digests = {path: digest_of(path) for path in headers | {CONFIGURATION}}
    for path in sys.stdin.read().split("\n"):
        if not path:
            continue
        parts = [path, digest_of(path), digests[CONFIGURATION]]
        used = dependencies.get(path, headers) & headers
        parts += [f"{name} {digests[name]}" for name in sorted(used)]
        key = hashlib.sha256("\n".join(parts).encode()).hexdigest()
        print(f"{key}\t{path}")


main()
