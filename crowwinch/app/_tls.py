"""TLS of the callers' port and of connections to targets."""

import ssl

from crowwinch.errors import Finding, SettingsError
from crowwinch.generated.settings import RouterSettings


def tls_contexts(
    settings: RouterSettings,
) -> tuple[ssl.SSLContext | None, ssl.SSLContext | None]:
    """Returns the contexts for callers and for targets, None where not set.

    Raises:
        SettingsError: With one finding for each file that cannot be used.
    """
    callers = targets = None
    findings = []
    if settings.tls_certificate:
        callers = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        try:
            # Without a password, an encrypted key would make the process ask
            # for it on the terminal and wait.
            callers.load_cert_chain(
                settings.tls_certificate, settings.tls_key, password=""
            )
        except OSError as error:
            findings.append(
                Finding(
                    "--tls-certificate",
                    f"{settings.tls_certificate} with key {settings.tls_key}"
                    f" cannot be used: {error}",
                )
            )
    if settings.target_ca:
        try:
            targets = ssl.create_default_context(cafile=settings.target_ca)
        except OSError as error:
            findings.append(
                Finding(
                    "--target-ca",
                    f"{settings.target_ca} cannot be used: {error}",
                )
            )
    if findings:
        raise SettingsError(findings)
    return callers, targets
