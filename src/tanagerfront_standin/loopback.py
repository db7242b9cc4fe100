"""Loopback hosts that are reserved for one process and the processes that it starts."""

from __future__ import annotations

import itertools
import random
import socket
from types import TracebackType

from tanagerfront.http_client import Address

__all__ = ["ReservedHost"]

# A socket bound to this port of a host reserves the whole host. Nothing connects to it.
RESERVATION_PORT = 20000
# Below the ephemeral port range of Linux, which starts at 32768.
LISTENING_PORTS = range(RESERVATION_PORT + 1, 32768)
MAX_ATTEMPTS = 1000


class ReservedHost:
    """A host of 127.0.0.0/8 on which no other reservation listens.

    A port that is only looked up can be taken by another process before it is bound, and a port
    that was released can be taken before it is bound again. The reservation holds until `close` or
    the end of the process. Raises OSError if no host is free.
    """

    def __init__(self) -> None:
        # The choice must not depend on the seeded generator of an experiment: experiments with the
        # same seed run at the same time.
        candidates = random.SystemRandom()
        for _ in range(MAX_ATTEMPTS):
            host = "127." + ".".join(str(candidates.randint(1, 254)) for _ in range(3))
            reservation = socket.socket()
            try:
                reservation.bind((host, RESERVATION_PORT))
            except OSError:
                reservation.close()
                continue
            self._host, self._reservation = host, reservation
            self._ports = itertools.count(LISTENING_PORTS.start)
            return
        raise OSError(f"no loopback host with a free port {RESERVATION_PORT} was found")

    @property
    def name(self) -> str:
        """Return the host as an IP address."""
        return self._host

    def next_address(self) -> Address:
        """Return an address on this host that was not returned before; raises OSError if none."""
        port = next(self._ports)
        if port not in LISTENING_PORTS:
            raise OSError(f"all {len(LISTENING_PORTS)} ports of {self._host} were returned")
        return Address(self._host, port)

    def close(self) -> None:
        """End the reservation; the processes that use the host must have ended."""
        self._reservation.close()

    def __enter__(self) -> ReservedHost:
        return self

    def __exit__(
        self,
        _type: type[BaseException] | None,
        _error: BaseException | None,
        _traceback: TracebackType | None,
    ) -> None:
        self.close()
