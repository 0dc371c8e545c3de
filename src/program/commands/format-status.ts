/** Writes the status of a process for people. */

/** Writes nested values one a line, indented below their names. */
export function formatProcessStatus(status: unknown): string {
  return listLines(status, 0).join('\n');
}

// Internals.

function listLines(value: unknown, depth: number): string[] {
  if (typeof value !== 'object' || value === null)
    return [`${formIndent(depth)}${formatLeaf(value)}`];
  if (Array.isArray(value)) return value.map((one) => `${formIndent(depth)}${formatItem(one)}`);
  return Object.entries(value).flatMap(([name, one]) => {
    const label = name.replaceAll(/([A-Z])/g, ' $1').toLowerCase();
    if (typeof one !== 'object' || one === null) {
      return [`${formIndent(depth)}${label}: ${formatLeaf(one)}`];
    }
    return [`${formIndent(depth)}${label}:`, ...listLines(one, depth + 1)];
  });
}

function formatItem(item: unknown): string {
  if (typeof item !== 'object' || item === null) return formatLeaf(item);
  return Object.entries(item)
    .map(([name, one]) => `${name} ${formatLeaf(one)}`)
    .join(', ');
}

function formatLeaf(value: unknown): string {
  if (value === true) return 'yes';
  if (value === false) return 'no';
  if (value === null || value === undefined) return 'none';
  return typeof value === 'string' ? value : JSON.stringify(value);
}

function formIndent(depth: number): string {
  return '  '.repeat(depth);
}
