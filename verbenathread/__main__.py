"""Run the program with ``python -m verbenathread``."""

import signal
import sys

# Daemons that reload their settings on SIGHUP.
_RELOADABLE_ROLES = frozenset(('gateway', 'directory'))


def main() -> int:
    """Run one command and return its exit code."""
    if _RELOADABLE_ROLES.intersection(sys.argv[1:2]):
        # The default action would terminate the process. Ignoring SIGHUP
        # until the daemon installs its handler loses nothing, because the
        # settings have not been read yet.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from verbenathread import cmdline

    return cmdline.main()


if __name__ == '__main__':
    sys.exit(main())
