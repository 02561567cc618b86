import type {Figure, Measurement} from './measurement-schema.js';
import {isWithinBound} from './measurement-schema.js';
import {drawPlot, escapeHtml, formatNumber} from './plot.js';

const STYLE = `
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 64rem; }
table { border-collapse: collapse; }
th, td { border: 1px solid #ccc; padding: 0.2rem 0.6rem; text-align: left; }
td.number { text-align: right; }
.kept { color: #166534; }
.missed { color: #b91c1c; font-weight: bold; }
figure { display: inline-block; width: 30rem; margin: 0.5rem; }
svg text { font-size: 11px; }
`;

/**
 * Writes one or two runs of an experiment as one page without outside parts.
 *
 * @param first - The run, or the one before.
 * @param second - The run after, if two are compared.
 */
export function formatHtmlReport(
  first: Measurement,
  second?: Measurement,
): string {
  const runs = second === undefined ? [first] : [first, second];
  const title = escapeHtml(`${first.experiment}, ${first.deployment}`);
  return [
    '<!doctype html><html lang="en"><head><meta charset="utf-8">',
    `<title>${title}</title><style>${STYLE}</style></head><body>`,
    `<h1>${title}</h1>`,
    ...runs.map(formatRun),
    formatFigures(runs),
    ...formatPlots(runs),
    '</body></html>',
  ].join('\n');
}

function formatRun(run: Measurement): string {
  const facts = [
    `<code>${escapeHtml(run.command)}</code>`,
    `started ${escapeHtml(run.startedAt)}`,
    `seed ${run.seed}`,
    `${run.processors} processors, load ${formatNumber(run.machineLoad)}`,
    ...run.notes.map(escapeHtml),
  ];
  return `<ul>${facts.map(fact => `<li>${fact}</li>`).join('')}</ul>`;
}

function formatFigures(runs: readonly Measurement[]): string {
  const heads = runs.map((_, index) => `<th>${columnName(index, runs)}</th>`);
  const rows = (runs[0]?.figures ?? []).map(({name}) => formatRow(name, runs));
  return [
    `<table><tr><th>figure</th>${heads.join('')}<th>stated bound</th></tr>`,
    ...rows,
    '</table>',
  ].join('\n');
}

function formatRow(name: string, runs: readonly Measurement[]): string {
  const figures = runs.map(run => run.figures.find(one => one.name === name));
  const cells = figures.map(
    figure => `<td class="number">${formatFigure(figure)}</td>`,
  );
  const bound = figures.find(figure => figure?.bound !== undefined)?.bound;
  const stated =
    bound === undefined ? '' : `${bound.relation} ${formatNumber(bound.value)}`;
  return `<tr><td>${escapeHtml(name)}</td>${cells.join('')}<td>${stated}</td></tr>`;
}

function formatFigure(figure: Figure | undefined): string {
  if (figure === undefined) return '';
  const text = `${formatNumber(figure.value)} ${escapeHtml(figure.unit)}`;
  const kept = isWithinBound(figure);
  if (kept === undefined) return text;
  return `<span class="${kept ? 'kept' : 'missed'}">${text}</span>`;
}

function formatPlots(runs: readonly Measurement[]): string[] {
  return (runs[0]?.series ?? []).map(({name, xLabel, yLabel}) => {
    const lines = runs.flatMap((run, index) =>
      run.series
        .filter(series => series.name === name)
        .map(({points}) => ({label: columnName(index, runs), points})),
    );
    return drawPlot(name, {x: xLabel, y: yLabel}, lines);
  });
}

function columnName(index: number, runs: readonly Measurement[]): string {
  if (runs.length === 1) return 'value';
  return index === 0 ? 'before' : 'after';
}
