"""Report of where a statement of the session interface would go now, without sending it.

It asks the functions that place real statements and changes no state that they depend on.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from .caller_session import SessionServices
from .entry_id import EntryId
from .errors import NotFoundError
from .instance_directory import Group, Instance
from .instance_load import even_load_enabled
from .placement import Assessment, Candidate, assess_candidates, choose_candidate, estimated_delay_s
from .primary_use import expected_wait_s, primary_obstacle
from .session_model import FrontConfiguration, Route, RouteKind, boottime_s
from .statement_placement import OutOfUse, out_of_use, read_candidates, required_entry

__all__ = ["CandidateReport", "PlacementQuestion", "PlacementReport", "report_placement"]


class PlacementQuestion(NamedTuple):
    """A statement that might be sent: its route, organisation and kind.

    `session_entry` is the last write of the caller's session.
    """

    database: str
    organisation: str
    writes: bool = False
    session_entry: EntryId | None = None


class CandidateReport(msgspec.Struct):
    """An instance of the group with the inputs of the choice; times in milliseconds."""

    id: str
    failure_domain: str
    primary: bool
    # Why the instance is out of the choice, None if it takes part.
    excluded: str | None
    # Part of such statements that would go to the instance.
    share: float = 0.0
    expected_ms: float | None = None
    idle_connection: bool = False
    requests_here: int = 0
    reached: str | None = None
    # Statements that ran or waited at the last report of its home, and the age of the report.
    statements: float | None = None
    load_age_ms: float | None = None
    failed_share: float | None = None


class PlacementReport(msgspec.Struct):
    """Where a statement would go now, and why; times in milliseconds."""

    database: str
    group: str
    kind: str
    configuration_version: int
    primary: str | None
    term: int | None
    # Why this VM may not use the primary, None if it may.
    primary_obstacle: str | None
    evacuated_domains: list[str]
    rate_per_s: float
    burst: float
    # The other VMs that hold rate shares of the organisation.
    rate_lenders: list[str]
    # `instance`, `wait` or `refuse`, and the reason in words.
    outcome: str
    reason: str
    # The entry that a replica must have applied, None if only the primary may execute it.
    required_entry: str | None = None
    even_load: bool = False
    candidates: list[CandidateReport] = []


def report_placement(services: SessionServices, question: PlacementQuestion) -> PlacementReport:
    """Return where a statement would go now; raises NotFoundError for an unknown name."""
    configuration = services.confirmed_state.configuration
    route = configuration.routes.get(question.database) if configuration is not None else None
    if configuration is None or route is None:
        raise NotFoundError(f"no route is configured for database {question.database!r}")
    organisation = configuration.organisations.get(question.organisation)
    if organisation is None:
        raise NotFoundError(f"organisation {question.organisation!r} is not configured")
    group = services.directory.groups.get(route.group)
    if group is None:
        raise NotFoundError(f"no instance of group {route.group!r} is registered")
    obstacle = primary_obstacle(group, services.confirmed_state, boottime_s())
    record = group.primary_record
    report = PlacementReport(
        database=route.database,
        group=group.name,
        kind="write" if question.writes else "read",
        configuration_version=configuration.version,
        primary=group.primary.registration.id if group.primary is not None else None,
        term=record.term if record is not None else None,
        primary_obstacle=obstacle.value if obstacle is not None else None,
        evacuated_domains=sorted(
            {
                instance.registration.failure_domain
                for instance in services.directory.instances()
                if instance.evacuation is not None
            }
        ),
        rate_per_s=organisation.rate_per_s,
        burst=organisation.burst,
        rate_lenders=list(services.rates.lenders(organisation.name)),
        outcome="",
        reason="",
    )
    primary = group.primary if obstacle is None else None
    _place(report, services, configuration, route, group, primary, question)
    return report


def _place(
    report: PlacementReport,
    services: SessionServices,
    configuration: FrontConfiguration,
    route: Route,
    group: Group,
    primary: Instance | None,
    question: PlacementQuestion,
) -> None:
    """Fill in the outcome and the candidates."""
    if question.writes or route.kind is RouteKind.PRIMARY:
        reason = (
            "only the primary executes writes"
            if question.writes
            else "the route's reads go to the primary"
        )
        _send_to_primary(report, services, route, group, primary, reason)
        return
    own_writes = route.kind is RouteKind.READ_YOUR_WRITES
    try:
        after = required_entry(
            route, group, boottime_s(), question.session_entry if own_writes else None
        )
    except LookupError as error:
        _send_to_primary(report, services, route, group, primary, str(error))
        return
    report.required_entry = _entry_text(after)
    report.even_load = even_load_enabled(
        configuration, urgency_order=services.urgency_order, relayed=services.directory.relayed
    )
    candidates = read_candidates(
        services.directory, group, primary, question.organisation, with_load=report.even_load
    )
    now = boottime_s()
    assessments = assess_candidates(candidates, after, now)
    if not report.even_load:
        assessments = _by_least_delay(assessments, choose_candidate(candidates, after, now))
    known = {assessment.candidate.id: assessment for assessment in assessments}
    report.candidates = [
        _candidate_report(instance, known.get(instance.registration.id), group, primary)
        for instance in group.instances.values()
    ]
    if any(candidate.share > 0.0 for candidate in report.candidates):
        report.outcome = "instance"
        report.reason = (
            "drawn by share, which evens out the expected delays"
            if report.even_load
            else "the least estimated delay"
        )
        return
    _send_to_primary(report, services, route, group, primary, "no replica may serve the read")


def _by_least_delay(assessments: list[Assessment], chosen: Candidate | None) -> list[Assessment]:
    """Return the assessments as the choice of the least estimated delay makes them."""
    return [
        assessment._replace(
            delay_s=estimated_delay_s(assessment.candidate),
            weight=float(chosen is not None and assessment.candidate.id == chosen.id),
        )
        for assessment in assessments
    ]


def _send_to_primary(
    report: PlacementReport,
    services: SessionServices,
    route: Route,
    group: Group,
    primary: Instance | None,
    reason: str,
) -> None:
    if not report.candidates:
        report.candidates = [
            _candidate_report(instance, None, group, primary)
            for instance in group.instances.values()
        ]
    if primary is not None:
        report.outcome, report.reason = "instance", reason
        for candidate in report.candidates:
            candidate.share = float(candidate.id == primary.registration.id)
        return
    wait_s = expected_wait_s(group, services.confirmed_state.limits, boottime_s())
    waits = wait_s < route.statement_timeout_s
    report.outcome = "wait" if waits else "refuse"
    report.reason = f"{reason}; this VM may not use the primary ({report.primary_obstacle})"


def _candidate_report(
    instance: Instance, assessment: Assessment | None, group: Group, primary: Instance | None
) -> CandidateReport:
    registration = instance.registration
    reported = CandidateReport(
        id=registration.id,
        failure_domain=registration.failure_domain,
        primary=instance is group.primary,
        excluded=_exclusion_text(out_of_use(group, instance, primary), assessment),
        reached=_entry_text(instance.reached) if instance.reached is not None else None,
        requests_here=instance.pool.busy_connections + instance.pool.waiting_requests,
    )
    if assessment is None:
        return reported
    reported.share = round(assessment.weight, 3)
    reported.expected_ms = round(assessment.delay_s * 1000, 1)
    reported.idle_connection = assessment.candidate.has_idle_connection
    load = assessment.candidate.load
    if load is not None:
        reported.failed_share = round(load.failed_share, 3)
        if load.statements is not None:
            reported.statements = load.statements
            reported.load_age_ms = round(load.age_s * 1000, 1)
    return reported


def _exclusion_text(reason: OutOfUse | None, assessment: Assessment | None) -> str | None:
    if reason is not None:
        return reason.value
    if assessment is not None and assessment.exclusion is not None:
        return assessment.exclusion.value
    return None


def _entry_text(entry: EntryId) -> str:
    return f"{entry.term}.{entry.position}"
