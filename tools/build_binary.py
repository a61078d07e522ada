"""Build dist/verbenathread, a single-file executable archive.

It contains the package and its pinned run-time libraries, as installed in this
environment, and runs inside the interpreter that starts it, without a child
process.
"""

import shutil
import sys
from importlib import metadata
from pathlib import Path

from shiv.cli import main as run_shiv

_ROOT = Path(__file__).resolve().parent.parent
_PINS = _ROOT / 'requirements' / 'run.txt'
_SITE = _ROOT / 'build' / 'site'
_BINARY = _ROOT / 'dist' / 'verbenathread'
_INTERPRETER = '/usr/bin/env python3'


def pinned_names(pins: Path) -> list[str]:
    """Return the names of the libraries pinned in a requirements file."""
    lines = pins.read_text(encoding='utf-8').splitlines()
    return [line.partition('==')[0] for line in lines if '==' in line]


def copy_library(name: str, site: Path) -> None:
    """Copy the installed files of a library below ``site``."""
    library = metadata.distribution(name)
    for file in library.files or ():
        # Scripts lie outside the library's folder and are not needed.
        if '..' in file.parts or '__pycache__' in file.parts:
            continue
        target = site / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(str(file.locate()), target)


def build(binary: Path = _BINARY, site: Path = _SITE) -> None:
    """Build the archive at ``binary``."""
    shutil.rmtree(site, ignore_errors=True)
    for name in pinned_names(_PINS):
        copy_library(name, site)
    shutil.copytree(
        _ROOT / 'verbenathread',
        site / 'verbenathread',
        ignore=shutil.ignore_patterns('__pycache__'),
    )
    binary.parent.mkdir(parents=True, exist_ok=True)
    run_shiv(
        [
            '--site-packages',
            str(site),
            '--entry-point',
            'verbenathread.__main__:main',
            '--python',
            _INTERPRETER,
            '--output-file',
            str(binary),
            '--compressed',
        ],
        standalone_mode=False,
    )


if __name__ == '__main__':
    build()
    sys.stdout.write(f'{_BINARY.relative_to(_ROOT)} is built\n')
