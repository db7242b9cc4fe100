"""Adapter to the users' platform: its names, formats and calls."""

from .main import main
from .settings import load_settings

__all__ = ["load_settings", "main"]
