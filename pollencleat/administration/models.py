"""Request bodies of the administration API."""

from typing import Annotated

import pydantic

MAX_VERSION = (1 << 63) - 1
Version = Annotated[int, pydantic.Field(ge=0, le=MAX_VERSION)]


class ApplyBody(pydantic.BaseModel):
    """A new inventory to apply.

    Attributes:
        text: INI text of the inventory.
        expected_version: Version that the change is based on.
        cause: Reason for the audit trail.
        change_id: Idempotency key; a change that is sent again is not applied again.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    text: str
    expected_version: Version
    cause: str = ""
    change_id: str = ""


class RollbackBody(pydantic.BaseModel):
    """A former inventory version to apply again, as a new version."""

    model_config = pydantic.ConfigDict(extra="forbid")

    to_version: Version
    expected_version: Version
    cause: str = ""


class CheckBody(pydantic.BaseModel):
    """An inventory to check or compare without applying it.

    Attributes:
        text: INI text of the inventory.
        filename: Name for error messages.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    text: str
    filename: str = "inventory"
