/** Labels of a metric series. */

/** The label names and values of one series. */
export type Labels = Readonly<Record<string, string>>;

/** Formats labels in the Prometheus text format, for example `{channel="log"}`. */
export function formatLabels(labels: Labels): string {
  const names = Object.keys(labels).sort();
  if (names.length === 0) return '';
  const pairs = names.map((name) => `${name}="${escapeValue(labels[name] ?? '')}"`);
  return `{${pairs.join(',')}}`;
}

// Internals.

function escapeValue(value: string): string {
  return value.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n');
}
