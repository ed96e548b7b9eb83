"""Micro-kernel: services register under a name and find each other by that name."""

from typing import Protocol, TypeVar, runtime_checkable

from attrs import define, field
from loguru import logger

from dotterelpier.errors import ServiceNotRegisteredError

T = TypeVar("T")


@runtime_checkable
class KernelService(Protocol):
    """Service that the kernel starts and stops."""

    def start(self) -> None:
        """Start the tasks of the service; called once, after its dependencies."""

    def stop(self) -> None:
        """Stop the tasks of the service; called once, after its dependents."""


@define
class Kernel:
    """Registry of services.

    Services start after their dependencies and stop in the reverse order.
    """

    _service_by_name: dict[str, object] = field(factory=dict)
    _dependencies_by_name: dict[str, tuple[str, ...]] = field(factory=dict)
    _started: list[str] = field(factory=list)

    def register(
        self, name: str, service: object, dependencies: tuple[str, ...] = ()
    ) -> None:
        """Add a service; ``start`` starts it later.

        Parameters
        ----------
        name : str
            Name by which other services find it.
        service : object
            The service; started and stopped if it is a ``KernelService``.
        dependencies : tuple of str, default=()
            Names of the services that must start before it.

        Raises
        ------
        ValueError
            If a service is already registered under the name.
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
            Protocol through which the caller uses it; named in the error, not checked.

        Raises
        ------
        ServiceNotRegisteredError
            If no service is registered under the name.
        """
        try:
            return self._service_by_name[name]  # type: ignore[return-value]
        except KeyError:
            raise ServiceNotRegisteredError(
                f"service {name!r} is not registered; requested as {kind.__name__}",
                step="kernel.find",
            ) from None

    def start(self) -> None:
        """Start all services, each after its dependencies.

        Raises
        ------
        ServiceNotRegisteredError
            If a dependency is not registered.
        ValueError
            If dependencies form a cycle.
        """
        for name in self._start_order():
            service = self._service_by_name[name]
            if isinstance(service, KernelService):
                service.start()
            self._started.append(name)
            logger.debug("service started", service=name)

    def stop(self) -> None:
        """Stop the started services in reverse order; log errors and go on."""
        while self._started:
            name = self._started.pop()
            service = self._service_by_name[name]
            if not isinstance(service, KernelService):
                continue
            try:
                service.stop()
            except Exception:
                logger.exception(
                    "service failed to stop; stopping the remaining services",
                    service=name,
                )

    def _start_order(self) -> list[str]:
        order: list[str] = []
        visiting: set[str] = set()

        def visit(name: str) -> None:
            if name in order:
                return
            if name in visiting:
                raise ValueError(f"dependencies of service {name!r} form a cycle")
            if name not in self._dependencies_by_name:
                raise ServiceNotRegisteredError(
                    f"service {name!r} is not registered", step="kernel"
                )
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
