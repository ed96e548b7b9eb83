"""Micro-kernel: services register under a name and find each other by it."""

from typing import Protocol, TypeVar, runtime_checkable

from attrs import define, field
from loguru import logger

from dotterelpier.errors import ServiceNotRegisteredError

T = TypeVar("T")


@runtime_checkable
class KernelService(Protocol):
    """A part that the kernel starts and stops."""

    def start(self) -> None:
        """Start the tasks of the service."""

    def stop(self) -> None:
        """Stop the tasks of the service; called once, after its users."""


@define
class Kernel:
    """Registry of services.

    Services start in the order of their needs and stop in the reverse order.
    """

    _service_by_name: dict[str, object] = field(factory=dict)
    _dependencies_by_name: dict[str, tuple[str, ...]] = field(factory=dict)
    _started: list[str] = field(factory=list)

    def register(
        self, name: str, service: object, dependencies: tuple[str, ...] = ()
    ) -> None:
        """Register a service.

        Parameters
        ----------
        name : str
            Name under which others find it.
        service : object
            The service; started and stopped if it is a ``KernelService``.
        needs : tuple of str, default=()
            Names of the services that must be started before it.

        Raises
        ------
        ValueError
            If the name is taken.
        """
        if name in self._service_by_name:
            raise ValueError(f"service {name!r} is already registered")
        self._service_by_name[name] = service
        self._dependencies_by_name[name] = dependencies

    def find(self, name: str, kind: type[T]) -> T:
        """Return the service registered under a name.

        Parameters
        ----------
        name : str
            Name of the service.
        kind : type
            Protocol that the caller uses it by.

        Raises
        ------
        ServiceNotRegisteredError
            If nobody registered the name.
        """
        try:
            return self._service_by_name[name]  # type: ignore[return-value]
        except KeyError:
            raise ServiceNotRegisteredError(
                f"no service {name!r}, wanted as {kind.__name__}", step="kernel.find"
            ) from None

    def start(self) -> None:
        """Start all services in the order of their needs.

        Raises
        ------
        ServiceNotRegisteredError
            If a need is not registered.
        ValueError
            If needs form a cycle.
        """
        for name in self._start_order():
            service = self._service_by_name[name]
            if isinstance(service, KernelService):
                service.start()
            self._started.append(name)
            logger.debug("service started", service=name)

    def stop(self) -> None:
        """Stop the started services in reverse order; errors are logged."""
        while self._started:
            name = self._started.pop()
            service = self._service_by_name[name]
            if not isinstance(service, KernelService):
                continue
            try:
                service.stop()
            except Exception:
                logger.exception("service did not stop", service=name)

    def _start_order(self) -> list[str]:
        order: list[str] = []
        visiting: set[str] = set()

        def visit(name: str) -> None:
            if name in order:
                return
            if name in visiting:
                raise ValueError(f"needs of service {name!r} form a cycle")
            if name not in self._dependencies_by_name:
                raise ServiceNotRegisteredError(f"no service {name!r}", step="kernel")
            visiting.add(name)
            for dependency in self._dependencies_by_name[name]:
                visit(dependency)
            order.append(name)

        for name in self._dependencies_by_name:
            visit(name)
        return order


def make_kernel() -> Kernel:
    """Return an empty kernel."""
    return Kernel()
