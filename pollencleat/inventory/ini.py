"""INI files with line numbers.

configparser returns values without their line numbers, and it either stops at the first
duplicate or ignores duplicates.  The line index built here makes up for both, so that
every error can be reported with its line.
"""

import configparser
import re
from dataclasses import dataclass, field
from typing import TypeVar

import pydantic

from pollencleat.core.errors import LocatedError

_SECTION_PATTERN = re.compile(r"^\[(?P<name>[^\]]*)\]\s*$")
_KEY_PATTERN = re.compile(r"^(?P<name>[^\s#;=:\[][^=:]*?)\s*[=:]")


@dataclass(frozen=True, slots=True)
class IniFile:
    """A parsed file.

    Attributes:
        values_by_section: Unconverted values by section name, then by key.
        lines: Line number by (section, key); the key is empty for a section header.
        errors: Syntax errors and duplicates.
    """

    filename: str
    values_by_section: dict[str, dict[str, str]] = field(default_factory=dict)
    lines: dict[tuple[str, str], int] = field(default_factory=dict)
    errors: list[LocatedError] = field(default_factory=list)

    def make_error(
        self, section: str, key: str, problem: str, expected: str
    ) -> LocatedError:
        """Return an error with the line of a key, or else that of its section.

        Args:
            section: Section name.
            key: Key, or empty for the section itself.
            problem: What is wrong.
            expected: What would be valid.

        Returns:
            The error; its line is 0 if the section does not exist.
        """
        line = self.lines.get((section, key)) or self.lines.get((section, ""), 0)
        return LocatedError(self.filename, line, section, key, problem, expected)


def parse_ini_text(filename: str, text: str) -> IniFile:
    """Parse an INI text and index its lines.

    Args:
        filename: Name for error messages.
        text: The whole file.

    Returns:
        The parsed file, with its syntax errors and duplicates.
    """
    parsed = IniFile(filename)
    _index_lines(parsed, text)
    parser = configparser.RawConfigParser(strict=False, delimiters=("=", ":"))
    parser.optionxform = str
    try:
        parser.read_string(text, source=filename)
    except configparser.MissingSectionHeaderError as error:
        parsed.errors.append(_syntax_error(filename, error.lineno, error.line))
        return parsed
    except configparser.ParsingError as error:
        for line_number, line in error.errors:
            parsed.errors.append(_syntax_error(filename, line_number, line))
        return parsed
    for section in parser.sections():
        parsed.values_by_section[section] = dict(parser.items(section))
    return parsed


def _syntax_error(filename: str, line_number: int, line: str) -> LocatedError:
    return LocatedError(
        filename, line_number, "", "", f"cannot parse {line!r}", "key = value"
    )


def _index_lines(parsed: IniFile, text: str) -> None:
    section = ""
    for line_number, line in enumerate(text.splitlines(), start=1):
        header = _SECTION_PATTERN.match(line)
        if header:
            section = header["name"]
            _index_entry(parsed, section, "", line_number)
            continue
        key = _KEY_PATTERN.match(line)
        if key is None:
            continue
        _index_entry(parsed, section, key["name"], line_number)


def _index_entry(parsed: IniFile, section: str, key: str, line_number: int) -> None:
    first_line_number = parsed.lines.setdefault((section, key), line_number)
    if first_line_number == line_number:
        return
    problem = f"already given on line {first_line_number}"
    parsed.errors.append(
        LocatedError(parsed.filename, line_number, section, key, problem, "it once")
    )


def field_to_key(name: str) -> str:
    """Return the INI key of a model field.

    Args:
        name: Python attribute name.

    Returns:
        The name with hyphens.
    """
    return name.replace("_", "-")


class IniSection(pydantic.BaseModel):
    """Base of section models: keys are hyphenated, unknown keys are rejected."""

    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, alias_generator=field_to_key
    )


Model = TypeVar("Model", bound=IniSection)


def validate_section(
    parsed: IniFile, section: str, model: type[Model]
) -> tuple[Model | None, list[LocatedError]]:
    """Validate one section with its model.

    Args:
        parsed: The parsed file.
        section: Name of a section of the file.
        model: The section's model.

    Returns:
        The validated section, or None if it is invalid, and all its errors.
    """
    try:
        return model.model_validate(parsed.values_by_section[section]), []
    except pydantic.ValidationError as failure:
        errors = []
        for item in failure.errors():
            key = str(item["loc"][0]) if item["loc"] else ""
            errors.append(_locate_validation_error(parsed, section, key, item, model))
        return None, errors


def _locate_validation_error(
    parsed: IniFile, section: str, key: str, item: dict, model: type[IniSection]
) -> LocatedError:
    if item["type"] == "extra_forbidden":
        known = ", ".join(field_to_key(name) for name in model.model_fields)
        return parsed.make_error(section, key, "unknown key", f"one of {known}")
    if item["type"] == "missing":
        return parsed.make_error(section, key, "missing key", f"{key} = ...")
    problem = f"invalid value {item['input']!r}"
    return parsed.make_error(section, key, problem, item["msg"])
