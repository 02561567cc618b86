import type {TimelineEntry} from '@sapphireglade/decisions';
import {describeEvent, describeGap} from '@sapphireglade/decisions';
import {
  formatPhaseDurations,
  findPrimaryChanges,
  formatHeadline,
} from './primary-change-summary.js';
import type {FleetTimeline} from './collect-timeline.js';
import {formatTime, formatUnreachableProxies} from './timeline-text.js';

const STYLE = `
body{font:14px/1.4 system-ui,sans-serif;margin:1.5rem;color:#1c2430}
table{border-collapse:collapse;width:100%}
th,td{border:1px solid #d5dbe3;padding:.25rem .5rem;vertical-align:top;text-align:left}
th{position:sticky;top:0;background:#eef2f7}
td.time{white-space:nowrap;font-variant-numeric:tabular-nums}
td .kind{display:block;color:#5b6b80;font-size:.8em}
tr.gap td{background:#fff1e5}
td.here{background:#eef6ff}
.missing{color:#a33}
ol li{margin:.15rem 0}
`;

/**
 * Formats a timeline as one self-contained HTML page with a column for each
 * process.
 *
 * @param timeline - Merged timeline.
 * @returns HTML text.
 */
export function formatTimelineHtml(timeline: FleetTimeline): string {
  const lanes = listLanes(timeline);
  const headings = ['Time (UTC)', ...lanes]
    .map(lane => `<th>${escapeHtml(lane)}</th>`)
    .join('');
  const rows = timeline.entries.map(entry => formatRow(entry, lanes));
  return [
    '<!doctype html>',
    '<html lang="en"><head><meta charset="utf-8">',
    `<title>Timeline</title><style>${STYLE}</style></head><body>`,
    '<h1>Timeline</h1>',
    ...formatUnreachableProxies(timeline).map(
      line => `<p class="missing">${escapeHtml(line)}</p>`,
    ),
    ...formatPrimaryChangesHtml(timeline.entries),
    `<table><thead><tr>${headings}</tr></thead><tbody>`,
    ...rows,
    '</tbody></table></body></html>',
  ].join('\n');
}

/** Returns the names of all processes, sorted. */
function listLanes({proxies, entries}: FleetTimeline): string[] {
  const recorded = entries.map(entry => findEntrySource(entry).process);
  return [...new Set([...proxies, ...recorded])].sort();
}

/** Formats the changes of primary that are shown above the table. */
function formatPrimaryChangesHtml(entries: readonly TimelineEntry[]): string[] {
  return findPrimaryChanges(entries).flatMap(change => [
    `<h2>${escapeHtml(formatHeadline(change))}</h2>`,
    ...formatPhaseDurations(change).map(line => `<p>${escapeHtml(line)}</p>`),
    '<ol>',
    ...change.steps.map(
      step =>
        `<li>+${step.sinceStartMs} ms, <b>${escapeHtml(step.process)}</b>: ${escapeHtml(step.sentence)}</li>`,
    ),
    '</ol>',
  ]);
}

function formatRow(entry: TimelineEntry, lanes: readonly string[]): string {
  const {process, wallMs} = findEntrySource(entry);
  const cells = lanes.map(lane =>
    lane === process
      ? `<td class="here">${formatCell(entry)}</td>`
      : '<td></td>',
  );
  const time = `<td class="time">${formatTime(wallMs)}</td>`;
  return `<tr class="${entry.type}">${time}${cells.join('')}</tr>`;
}

function formatCell(entry: TimelineEntry): string {
  if (entry.type === 'gap') return escapeHtml(describeGap(entry.gap));
  const kind = `<span class="kind">${escapeHtml(entry.event.kind)}</span>`;
  return kind + escapeHtml(describeEvent(entry.event));
}

/** Returns the process and time of an entry. */
function findEntrySource(entry: TimelineEntry): {
  process: string;
  wallMs: number;
} {
  const {process, at} = entry.type === 'gap' ? entry.gap : entry.event;
  return {process, wallMs: at.wallMs};
}

function escapeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}
