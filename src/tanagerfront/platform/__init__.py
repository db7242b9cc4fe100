"""Adapter of the session interface to the platform: wire formats, settings, store and start."""

from .main import main
from .settings import load_settings

__all__ = ["load_settings", "main"]
