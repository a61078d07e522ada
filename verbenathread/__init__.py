"""A serving layer for prompts of very unlike lengths.

The daemons are the roles ``entry`` and ``control`` of the one program. The
packages ``consensus``, ``control``, ``membership`` and ``scheduling`` hold
the coordination parts; they can be embedded without any daemon.
"""

__version__ = '0.1.0'
