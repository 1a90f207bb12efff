"""Reports on the results of an experiment: tables with spread and paired differences, and charts."""

from __future__ import annotations

import csv
import io
from collections.abc import Mapping, Sequence
from pathlib import Path
from statistics import mean
from typing import Any

COLUMNS = (
    "in_time",
    "tries_a_job",
    "dispatches_a_job",
    "retry_share",
    "probes_a_dispatch",
    "p50",
    "p99",
    "breaches",
)
SUMMARY_COLUMNS = (
    "scenario",
    "variant",
    "runs",
    "in time",
    "against the module",
    "tries a job",
    "dispatches a job",
    "p99 s",
    "breaches",
)
Result = Mapping[str, Any]
REFERENCE_VARIANT = "module"  # the others are compared with it, seed by seed


def table(results: Sequence[Result]) -> str:
    """Return a CSV table with one row per run."""
    output = io.StringIO()
    writer = csv.writer(output, lineterminator="\n")
    writer.writerow(("scenario", "variant", "seed", "revision", "died", *COLUMNS))
    for result in _sorted(results):
        figures = [_text(result.get(name)) for name in COLUMNS]
        head = [
            result["scenario"],
            result["variant"],
            result["seed"],
            result["revision"],
            result["died"] or "",
        ]
        writer.writerow([*head, *figures])
    return output.getvalue()


def summary(name: str, results: Sequence[Result]) -> str:
    """Return a Markdown table with one row per scenario and variant."""
    lines = [
        f"# {name}",
        "",
        "Servers are emulated. In time: the share of the revenue of clients' first requests that was",
        "answered within the contract time (late answers count by their late share): mean (minimum to",
        "maximum) over seeds. Against the module: the same for the differences to the module, seed by seed.",
        "",
        "| " + " | ".join(SUMMARY_COLUMNS) + " |",
        "| " + " | ".join("---" for _ in SUMMARY_COLUMNS) + " |",
    ]
    groups = _grouped(results)
    for (scenario, variant), rows in groups.items():
        completed = [row for row in rows if not row["died"]]
        crashed = len(rows) - len(completed)
        runs = f"{len(rows)}" + (f", {crashed} died" if crashed else "")
        if not completed:
            lines.append(f"| {scenario} | {variant} | {runs} | | | | | | |")
            continue
        reference = {
            row["seed"]: row for row in groups.get((scenario, REFERENCE_VARIANT), ()) if not row["died"]
        }
        paired = [
            row["in_time"] - reference[row["seed"]]["in_time"]
            for row in completed
            if row["seed"] in reference
        ]
        cells = (
            scenario,
            variant,
            runs,
            _spread([row["in_time"] for row in completed]),
            "" if variant == REFERENCE_VARIANT or not paired else _spread(paired, sign="+"),
            f"{mean(row['tries_a_job'] for row in completed):.2f}",
            f"{mean(row['dispatches_a_job'] for row in completed):.2f}",
            f"{mean(row['p99'] or 0.0 for row in completed):.2f}",
            str(sum(row["breaches"] for row in completed)),
        )
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def charts(name: str, results: Sequence[Result], folder: Path) -> list[Path]:
    """Write one chart of all scenarios and, per scenario, one over time; return the paths of the files."""
    import matplotlib

    matplotlib.use("agg")
    from matplotlib import pyplot

    groups = _grouped([row for row in results if not row["died"]])
    scenarios = list(dict.fromkeys(scenario for scenario, _ in groups))
    variants = list(dict.fromkeys(variant for _, variant in groups))
    paths = []
    figure, axes = pyplot.subplots(figsize=(1.5 + 1.6 * len(scenarios), 4), layout="constrained")
    width = 0.8 / max(1, len(variants))
    for i, variant in enumerate(variants):
        for j, scenario in enumerate(scenarios):
            values = [row["in_time"] for row in groups.get((scenario, variant), ())]
            if values:
                average = mean(values)
                spread = [[average - min(values)], [max(values) - average]]
                label = variant if j == 0 else None
                axes.bar(j + i * width, average, width, yerr=spread, label=label, color=f"C{i}", capsize=2)
    axes.set_xticks([j + 0.4 - width / 2 for j in range(len(scenarios))], scenarios, rotation=15)
    axes.set_ylabel("revenue answered in time")
    axes.set_title(name)
    axes.legend(fontsize="small")
    paths.append(folder / "in-time.png")
    figure.savefig(paths[-1], dpi=90)
    pyplot.close(figure)
    for scenario in scenarios:
        figure, axes = pyplot.subplots(figsize=(7, 3.2), layout="constrained")
        for i, variant in enumerate(variants):
            course: dict[int, list[float]] = {}
            for row in groups.get((scenario, variant), ()):
                for second, earned, possible in row["course"]:
                    course.setdefault(second, []).append(earned / possible if possible else 0.0)
            axes.plot(
                list(course), [mean(values) for values in course.values()], label=variant, color=f"C{i}"
            )
        axes.set_xlabel("s")
        axes.set_ylabel("in time")
        axes.set_ylim(0, 1.05)
        axes.set_title(scenario)
        axes.legend(fontsize="small")
        paths.append(folder / f"course-{scenario.replace(' ', '-')}.png")
        figure.savefig(paths[-1], dpi=90)
        pyplot.close(figure)
    return paths


def _sorted(results: Sequence[Result]) -> list[Result]:
    return sorted(results, key=lambda row: (row["scenario"], row["variant"], row["seed"]))


def _grouped(results: Sequence[Result]) -> dict[tuple[str, str], list[Result]]:
    groups: dict[tuple[str, str], list[Result]] = {}
    for row in results:
        groups.setdefault((row["scenario"], row["variant"]), []).append(row)
    return groups


def _spread(values: Sequence[float], sign: str = "") -> str:
    return f"{mean(values):{sign}.3f} ({min(values):{sign}.3f} to {max(values):{sign}.3f})"


def _text(value: object) -> str:
    return f"{value:.6g}" if isinstance(value, float) else "" if value is None else str(value)
