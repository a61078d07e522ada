"""Measure the costs in docs/CAPACITY.md and write its table.

Each line is fitted through at least four sizes. Run it on an idle machine: the
byte counts are those of the whole loopback device.
"""

import argparse
import gc
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import NamedTuple

from tools.fitting import Fit, fit
from tools.slopes_cell import CellCost, measure
from verbenathread.settings.tree import EffectiveTree, key_hash

_PAGE = Path(__file__).resolve().parent.parent / 'docs' / 'CAPACITY.md'
_BEGIN = '<!-- slopes: begin -->'
_END = '<!-- slopes: end -->'
_ENTRIES = (3, 5, 7, 9)
_ENGINES = (0, 20, 40, 60)
# Engines while the entries vary, and entries while the engines vary.
_FIXED_ENGINES = 20
_FIXED_ENTRIES = 5
_ACCOUNTS = (50, 100, 200, 400)
_BRANCHES = 10
_REPEATS = 20
_MS_PER_SECOND = 1000
_KB = 1000


class Target(NamedTuple):
    """Expected sizes in two years, of one cell and of the fleet."""

    cell_entries: int = 8
    cell_engines: int = 100
    nodes: int = 320
    accounts: int = 570


TARGET = Target()


class Slope(NamedTuple):
    """A cost, its fitted line and the target size."""

    what: str
    by: str
    unit: str
    points: Sequence[tuple[float, float]]
    line: Fit
    size: float

    def row(self) -> str:
        """Return the row of the page's table."""
        cells = (
            self.what,
            self.by,
            ', '.join(f'{size:g}: {cost:.3g}' for size, cost in self.points),
            f'{self.line.slope:.3g} ± {self.line.spread:.2g} {self.unit}',
            f'{self.line.base:.3g} {self.unit}',
            f'{self.size:g}',
            f'{self.line.at(self.size):.3g} {self.unit}',
        )
        return f'| {" | ".join(cells)} |'


def fit_slope(
    what: str,
    by: str,
    unit: str,
    points: Sequence[tuple[float, float]],
    size: float,
) -> Slope:
    """Fit a line through ``points``, to extrapolate to ``size``."""
    return Slope(what, by, unit, points, fit(points), size)


def cell_slopes() -> Iterator[Slope]:
    """Measure idle cells by number of entries and of engines."""
    by_entries = [measure(entries, _FIXED_ENGINES) for entries in _ENTRIES]
    by_engines = [measure(_FIXED_ENTRIES, engines) for engines in _ENGINES]
    for what, unit, read in _CELL_FIGURES:
        yield fit_slope(
            what,
            f'entries, {_FIXED_ENGINES} engines',
            unit,
            [(cost.entries, read(cost)) for cost in by_entries],
            TARGET.cell_entries,
        )
        yield fit_slope(
            what,
            f'engines, {_FIXED_ENTRIES} entries',
            unit,
            [(cost.engines, read(cost)) for cost in by_engines],
            TARGET.cell_engines,
        )


def tree_slopes() -> Iterator[Slope]:
    """Measure the shared settings by number of client accounts."""
    points_ms = []
    points_kb = []
    for accounts in _ACCOUNTS:
        text_by_path = _tree_texts(accounts)
        points_ms.append((accounts, _rebuild_ms(text_by_path)))
        points_kb.append((accounts, _tree_kb(text_by_path)))
    by = f'client accounts, {_BRANCHES} branches'
    yield fit_slope(
        'entry: settings put in force', by, 'ms', points_ms, TARGET.accounts
    )
    yield fit_slope(
        'entry: settings held', by, 'KB', points_kb, TARGET.accounts
    )


def _entry_cpu(cost: CellCost) -> float:
    return cost.entry_cpu


def _leader_cpu(cost: CellCost) -> float:
    return cost.leader_cpu


def _entry_mb(cost: CellCost) -> float:
    return cost.entry_mb


def _control_mb(cost: CellCost) -> float:
    return cost.control_mb


def _sent_kb(cost: CellCost) -> float:
    return cost.bytes_per_second / _KB


_Figure = tuple[str, str, Callable[[CellCost], float]]
_CELL_FIGURES: tuple[_Figure, ...] = (
    ('entry, idle: processor time', 'ms/s', _entry_cpu),
    ('entry, idle: memory', 'MB', _entry_mb),
    ('node, idle: sent, headers included', 'KB/s', _sent_kb),
    ('control, busiest process, idle: processor time', 'ms/s', _leader_cpu),
    ('control process, idle: memory', 'MB', _control_mb),
)


def _tree_texts(accounts: int) -> dict[str, str]:
    text_by_path = {}
    for branch in range(_BRANCHES):
        text_by_path[f'/team-{branch}'] = '\n'.join(
            f'[account a-{number}]\nkey_sha256 = {key_hash(str(number))}\n'
            for number in range(branch, accounts, _BRANCHES)
        )
    return text_by_path


def _rebuild_ms(text_by_path: dict[str, str]) -> float:
    """Return the processor time in ms to rebuild a tree after one change."""
    EffectiveTree(text_by_path)
    started = time.process_time()
    for repeat in range(_REPEATS):
        text = text_by_path['/team-0']
        text_by_path['/team-0'] = f'{text}# {repeat}\n'
        EffectiveTree(text_by_path)
    return (time.process_time() - started) * _MS_PER_SECOND / _REPEATS


def _tree_kb(text_by_path: dict[str, str]) -> float:
    """Return the memory of a tree in KB."""
    # Texts that the parser has not cached, so that the tree allocates all of
    # its memory.
    distinct_texts = {
        path: f'{text}# held\n' for path, text in text_by_path.items()
    }
    gc.collect()
    tracemalloc.start()
    tree = EffectiveTree(distinct_texts)
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert tree.account_names()
    return allocated / _KB


def write_table(rows: Sequence[Slope], page: Path) -> None:
    """Write the table between the markers of the page."""
    text = page.read_text(encoding='utf-8')
    head, _, rest = text.partition(_BEGIN)
    _, _, tail = rest.partition(_END)
    lines = [
        _BEGIN,
        '| what | by | measured | slope | base | target | at the target |',
        '|---|---|---|---|---|---|---|',
        *(each.row() for each in rows),
        _END,
    ]
    body = '\n'.join(lines)
    page.write_text(f'{head}{body}{tail}', encoding='utf-8')


def main() -> int:
    """Measure, print the rows and write the table to the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--print',
        action='store_true',
        dest='only_print',
        help='leave the page unchanged',
    )
    options = parser.parse_args()
    rows = [*tree_slopes(), *cell_slopes()]
    for each in rows:
        sys.stdout.write(f'{each.row()}\n')
    if not options.only_print:
        write_table(rows, _PAGE)
    return 0


if __name__ == '__main__':
    sys.exit(main())
