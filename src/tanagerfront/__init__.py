"""Database proxy with session consistency."""

from .errors import TanagerfrontError

__all__ = ["TanagerfrontError", "__version__"]

__version__ = "0.1.0"
