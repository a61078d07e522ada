"""Recovery from a damaged data folder.

The other replicas hold the complete log, so no manual repair is needed: the
process keeps the damaged files for inspection and joins as a new member.
"""

from pathlib import Path

from verbenathread.exceptions import StorageError
from verbenathread.observability.logs import get_logger

_log = get_logger('directory')


def quarantine_folder(data_folder: str, error: StorageError) -> None:
    """Move the files of a damaged folder away, or raise any other error."""
    if not _is_data_damage(error):
        raise error
    folder = Path(data_folder)
    quarantine = folder.with_name(f'{folder.name}-damaged')
    quarantine.mkdir(exist_ok=True)
    for stale_file in quarantine.iterdir():
        stale_file.unlink()
    for damaged_file in folder.iterdir():
        damaged_file.replace(quarantine / damaged_file.name)
    _log.error(
        'The data folder is damaged; this process joins as a new member.',
        reason=str(error),
        kept=str(quarantine),
    )


def _is_data_damage(error: StorageError) -> bool:
    """Return whether the error reports damaged data.

    Other errors concern the disk or the settings. Relies on the texts of the
    errors that ``verbenathread.consensus`` raises.
    """
    text = str(error)
    return 'damaged' in text or 'missing' in text
