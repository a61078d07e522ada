"""Run the program with ``python -m verbenathread``."""

import sys

from verbenathread.cmdline import main

if __name__ == '__main__':
    sys.exit(main())
