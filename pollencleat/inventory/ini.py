"""INI files with line numbers.

The library's parser gives values but not the lines they stand on, and it stops at the
first duplicate.  The index built here supplies both, so that every error can be shown
with its line.
"""

import configparser
import re
from dataclasses import dataclass, field
from typing import TypeVar

import pydantic

from pollencleat.core.errors import LocatedError

_SECTION = re.compile(r"^\[(?P<name>[^\]]*)\]\s*$")
_KEY = re.compile(r"^(?P<name>[^\s#;=:\[][^=:]*?)\s*[=:]")


@dataclass(frozen=True, slots=True)
class IniFile:
    """A parsed file.

    Attributes:
        values_by_section: Section name to key to value, all text.
        lines: Line of (section, key); the key is empty for the section itself.
        errors: What is wrong with the file's form.
    """

    filename: str
    values_by_section: dict[str, dict[str, str]] = field(default_factory=dict)
    lines: dict[tuple[str, str], int] = field(default_factory=dict)
    errors: list[LocatedError] = field(default_factory=list)

    def locate(self, section: str, key: str, problem: str, fix: str) -> LocatedError:
        """Return an error that names the line of a key, or of its section.

        Args:
            section: Section name.
            key: Key, or empty.
            problem: What is wrong.
            fix: What would be right.

        Returns:
            The located error.
        """
        line = self.lines.get((section, key)) or self.lines.get((section, ""), 0)
        return LocatedError(self.filename, line, section, key, problem, fix)


def parse_ini_text(filename: str, text: str) -> IniFile:
    """Parse an INI text and index its lines.

    Args:
        filename: Name for error messages.
        text: The whole file.

    Returns:
        The parsed file with errors of form collected.
    """
    parsed = IniFile(filename)
    _index_lines(parsed, text)
    parser = configparser.RawConfigParser(strict=False, delimiters=("=", ":"))
    parser.optionxform = str
    try:
        parser.read_string(text, source=filename)
    except configparser.MissingSectionHeaderError as error:
        parsed.errors.append(_form_error(filename, error.lineno, error.line))
        return parsed
    except configparser.ParsingError as error:
        for line_number, line in error.errors:
            parsed.errors.append(_form_error(filename, line_number, line))
        return parsed
    for section in parser.sections():
        parsed.values_by_section[section] = dict(parser.items(section))
    return parsed


def _form_error(filename: str, line_number: int, line: str) -> LocatedError:
    return LocatedError(
        filename, line_number, "", "", f"cannot parse {line!r}", "key = value"
    )


def _index_lines(parsed: IniFile, text: str) -> None:
    section = ""
    for line_number, line in enumerate(text.splitlines(), start=1):
        header = _SECTION.match(line)
        if header:
            section = header["name"]
            _index_line(parsed, section, "", line_number)
            continue
        key = _KEY.match(line)
        if key is None:
            continue
        _index_line(parsed, section, key["name"], line_number)


def _index_line(parsed: IniFile, section: str, key: str, line_number: int) -> None:
    first = parsed.lines.setdefault((section, key), line_number)
    if first == line_number:
        return
    problem = f"already given on line {first}"
    parsed.errors.append(
        LocatedError(parsed.filename, line_number, section, key, problem, "it once")
    )


def key_of_field(name: str) -> str:
    """Return the INI key of a model field.

    Args:
        name: Python attribute name.

    Returns:
        The name with hyphens.
    """
    return name.replace("_", "-")


class IniSection(pydantic.BaseModel):
    """Base of models for one section: hyphenated keys, unknown keys refused."""

    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, alias_generator=key_of_field
    )


Model = TypeVar("Model", bound=IniSection)


def validate_section(
    parsed: IniFile, section: str, model: type[Model]
) -> tuple[Model | None, list[LocatedError]]:
    """Validate one section by its model.

    Args:
        parsed: The file.
        section: A section that the file holds.
        model: The section's model.

    Returns:
        The model, or None, and all errors.
    """
    try:
        return model.model_validate(parsed.values_by_section[section]), []
    except pydantic.ValidationError as failure:
        errors = []
        for item in failure.errors():
            key = str(item["loc"][0]) if item["loc"] else ""
            errors.append(_explain(parsed, section, key, item, model))
        return None, errors


def _explain(
    parsed: IniFile, section: str, key: str, item: dict, model: type[IniSection]
) -> LocatedError:
    if item["type"] == "extra_forbidden":
        known = ", ".join(key_of_field(name) for name in model.model_fields)
        return parsed.locate(section, key, "unknown key", f"one of {known}")
    if item["type"] == "missing":
        return parsed.locate(section, key, "missing key", f"{key} = ...")
    problem = f"invalid value {item['input']!r}"
    return parsed.locate(section, key, problem, item["msg"])
