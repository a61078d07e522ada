"""What a directory process does with a data folder that is damaged.

Nobody repairs folders by hand here. The others hold the whole log, so the
process keeps the damaged folder for inspection and joins as a new member.
"""

from pathlib import Path

from verbenathread.exceptions import StorageError
from verbenathread.observability.logs import get_logger

_log = get_logger('directory')


def quarantine_folder(data_folder: str, error: StorageError) -> None:
    """Move the files of a damaged folder away; raise any other error."""
    if not _is_data_damage(error):
        raise error
    folder = Path(data_folder)
    aside = folder.with_name(f'{folder.name}-damaged')
    aside.mkdir(exist_ok=True)
    for old in aside.iterdir():
        old.unlink()
    for found in folder.iterdir():
        found.replace(aside / found.name)
    _log.error(
        'The data folder is damaged; this process joins as a new member.',
        reason=str(error),
        kept=str(aside),
    )


def _is_data_damage(error: StorageError) -> bool:
    """Tell whether the folder is at fault, and not the disk or the caller."""
    text = str(error)
    return 'damaged' in text or 'missing' in text
