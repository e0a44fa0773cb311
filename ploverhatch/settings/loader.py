"""Reads TOML files into typed settings and reports all errors at once."""

import tomllib
from pathlib import Path
from typing import Any, TypeVar

from pydantic import ValidationError

from ploverhatch.settings.model import Section, Settings

Model = TypeVar("Model", bound=Section)


class SettingsError(Exception):
    """The settings are invalid; the message lists all errors."""


def load_model(model: type[Model], path: str | Path) -> Model:
    """Read a file as ``model``.

    :raises SettingsError: if the file can't be read or doesn't match ``model``; the message names
        the file, and the key and accepted range of each error.
    """
    return validate(model, read_toml(path), str(path))


def load_settings(path: str | Path | None, overrides: dict[str, Any]) -> Settings:
    """Read the settings of a node; command-line options override the file.

    :param overrides: ``{"section.key": value}``; ``None`` stands for an option that isn't given.
    :raises SettingsError: if the file can't be read, or the settings are invalid.
    """
    document = read_toml(path) if path else {}
    for dotted, value in overrides.items():
        if value is None:
            continue
        section, key = dotted.split(".")
        document.setdefault(section, {})[key] = value
    return validate(Settings, document, str(path or "flags"))


def read_toml(path: str | Path) -> dict[str, Any]:
    """Parse a TOML file.

    :raises SettingsError: if the file can't be read, or isn't valid TOML.
    """
    try:
        return tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from error
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{path}: not TOML: {error}") from error


def validate(model: type[Model], document: dict[str, Any], name: str) -> Model:
    """Check a parsed document against a model; error messages name it ``name``.

    :raises SettingsError: if the document doesn't match the model.
    """
    try:
        return model.model_validate(document)
    except ValidationError as error:
        rows = [_error_line(name, dict(item)) for item in error.errors(include_url=False)]
        raise SettingsError("\n".join(rows)) from error


def _error_line(name: str, item: dict[str, Any]) -> str:
    key = ".".join(str(part) for part in item["loc"])
    given = item.get("input")
    shown = "" if isinstance(given, dict) else f" (given: {given!r})"
    return f"{name}: {key}: {item['msg']}{shown}"
