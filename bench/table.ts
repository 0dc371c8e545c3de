/** Formats Markdown tables of figures. */

/** Formats a row; numbers below 100 are rounded to three significant digits, others to integers. */
export function formatRow(cells: readonly (string | number | undefined)[]): string {
  return `| ${cells.map(formatCell).join(' | ')} |`;
}

/** Returns a quantile, from 0 to 1, of unsorted values; `undefined` if there are none. */
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
