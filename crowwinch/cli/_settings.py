"""Settings from flags and environment variables."""

import argparse
import inspect
from collections.abc import Mapping

import msgspec

from crowwinch.errors import Finding, SettingsError
from crowwinch.generated.settings import RouterSettings

ENVIRONMENT_PREFIX = "CROWWINCH_"


def flag_of(name: str) -> str:
    """Returns the flag of a setting."""
    return "--" + name.replace("_", "-")


def variable_of(name: str) -> str:
    """Returns the environment variable of a setting."""
    return ENVIRONMENT_PREFIX + name.upper()


def add_settings_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds a flag for each setting to a parser."""
    for field in msgspec.inspect.type_info(RouterSettings).fields:
        description, _ = _describe(field.type)
        default = ""
        if field.default is not msgspec.NODEFAULT and field.default != "":
            default = f" Default: {field.default}."
        parser.add_argument(
            flag_of(field.name),
            metavar="VALUE",
            help=f"{description}{default} [{variable_of(field.name)}]",
        )


def load_settings(
    arguments: Mapping[str, str | None], environment: Mapping[str, str]
) -> RouterSettings:
    """Builds the settings; a flag goes before its environment variable.

    Args:
        arguments: Values of flags by setting name, None where not given.
        environment: Environment variables.

    Raises:
        SettingsError: With one finding for each wrong setting.
    """
    findings: list[Finding] = []
    values: dict[str, object] = {}
    fields = msgspec.inspect.type_info(RouterSettings).fields
    for field in fields:
        text = arguments.get(field.name)
        place = flag_of(field.name)
        if text is None:
            place = variable_of(field.name)
            text = environment.get(place)
        if text is None:
            if field.required:
                findings.append(
                    Finding(
                        flag_of(field.name),
                        f"is required (or {variable_of(field.name)})",
                    )
                )
            continue
        try:
            values[field.name] = _convert(field.name, text)
        except msgspec.ValidationError as error:
            findings.append(Finding(place, f"{error}, got {text!r}"))
    known = {variable_of(field.name) for field in fields}
    for variable in sorted(environment):
        if variable.startswith(ENVIRONMENT_PREFIX) and variable not in known:
            findings.append(Finding(variable, "no such setting"))
    findings.extend(_cross_check(values))
    if findings:
        raise SettingsError(findings)
    return RouterSettings(**values)


def _convert(name: str, text: str) -> object:
    annotation = _annotations()[name]
    return msgspec.convert(text, annotation, strict=False)


def _annotations() -> dict[str, object]:
    import typing

    return typing.get_type_hints(RouterSettings, include_extras=True)


def _cross_check(values: Mapping[str, object]) -> list[Finding]:
    findings = []
    for first, second in (
        ("peer_public_key", "peer_secret_key"),
        ("tls_certificate", "tls_key"),
    ):
        if bool(values.get(first)) != bool(values.get(second)):
            findings.append(
                Finding(flag_of(first), f"needs {flag_of(second)} and reverse")
            )
    return findings


def _describe(kind: msgspec.inspect.Type) -> tuple[str, msgspec.inspect.Type]:
    if isinstance(kind, msgspec.inspect.Metadata):
        schema = kind.extra_json_schema or {}
        return inspect.cleandoc(schema.get("description", "")), kind.type
    return "", kind
