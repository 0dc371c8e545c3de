/** Formats the status of a process as text for operators. */

/** Formats nested values, one per line, indented below their names. */
export function formatProcessStatus(status: unknown): string {
  return listLines(status, 0).join('\n');
}

// Internals.

function listLines(value: unknown, depth: number): string[] {
  if (typeof value !== 'object' || value === null)
    return [`${buildIndent(depth)}${formatScalar(value)}`];
  if (Array.isArray(value)) return value.map((one) => `${buildIndent(depth)}${formatItem(one)}`);
  return Object.entries(value).flatMap(([name, one]) => {
    const label = name.replaceAll(/([A-Z])/g, ' $1').toLowerCase();
    if (typeof one !== 'object' || one === null) {
      return [`${buildIndent(depth)}${label}: ${formatScalar(one)}`];
    }
    return [`${buildIndent(depth)}${label}:`, ...listLines(one, depth + 1)];
  });
}

function formatItem(item: unknown): string {
  if (typeof item !== 'object' || item === null) return formatScalar(item);
  return Object.entries(item)
    .map(([name, one]) => `${name} ${formatScalar(one)}`)
    .join(', ');
}

function formatScalar(value: unknown): string {
  if (value === true) return 'yes';
  if (value === false) return 'no';
  if (value === null || value === undefined) return 'none';
  return typeof value === 'string' ? value : JSON.stringify(value);
}

function buildIndent(depth: number): string {
  return '  '.repeat(depth);
}
