/** Text for an unknown value. */
export const UNKNOWN_VALUE = '-';

/** Value of a table cell. */
export type TableCell = string | number | null | undefined;

const COLUMN_GAP = '  ';

/**
 * Formats rows as a table with headings.
 *
 * @param headings - Heading of each column.
 * @param rows - Cells in the order of the headings.
 * @returns Lines whose columns are as wide as their widest cell.
 */
export function formatTable(
  headings: readonly string[],
  rows: ReadonlyArray<readonly TableCell[]>,
): string[] {
  const texts = [headings, ...rows.map(row => row.map(formatCell))];
  const widths = headings.map((_, column) =>
    Math.max(...texts.map(row => row[column]?.length ?? 0)),
  );
  return texts.map(row =>
    row
      .map((cell, column) => cell.padEnd(widths[column]!))
      .join(COLUMN_GAP)
      .trimEnd(),
  );
}

function formatCell(cell: TableCell): string {
  return cell === null || cell === undefined ? UNKNOWN_VALUE : String(cell);
}
