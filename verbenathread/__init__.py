"""A serving layer for prompts of widely varying lengths.

One program runs every daemon as a role, such as ``entry`` or ``control``.
The packages ``consensus``, ``control``, ``membership`` and ``scheduling``
implement coordination and can be embedded without running a daemon.
"""

__version__ = '0.1.0'
