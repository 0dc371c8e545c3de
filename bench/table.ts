/** Tables of figures in Markdown. */

/** Writes one row; numbers are rounded to three significant digits where they are small. */
export function formatRow(cells: readonly (string | number | undefined)[]): string {
  return `| ${cells.map(formatCell).join(' | ')} |`;
}

/** Finds a quantile, between 0 and 1, of values in any order; undefined when there are none. */
export function findQuantile(values: readonly number[], quantile: number): number | undefined {
  const sorted = values.toSorted((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))];
}

// Internals.

function formatCell(cell: string | number | undefined): string {
  if (cell === undefined) return '–';
  if (typeof cell === 'string') return cell;
  return Math.abs(cell) >= 100 ? cell.toFixed(0) : String(Number(cell.toPrecision(3)));
}
