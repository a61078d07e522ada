"""Run the program with ``python -m verbenathread``."""

import signal
import sys

# Daemons that read their settings again on SIGHUP.
_RELOADABLE_ROLES = frozenset(('gateway', 'directory'))


def main() -> int:
    """Run one command and return its exit code."""
    if _RELOADABLE_ROLES.intersection(sys.argv[1:2]):
        # Until the daemon handles it, the signal would end the process; the
        # settings that it tells of are about to be read.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from verbenathread import cmdline

    return cmdline.main()


if __name__ == '__main__':
    sys.exit(main())
