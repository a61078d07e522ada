"""The command line: a thin layer over the packages."""

import argparse


def main(arguments: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    parser = argparse.ArgumentParser(prog='verbenathread')
    parser.parse_args(arguments)
    return 0
