/** An in-memory log sink for tests. */
import { LineSink } from '../src/program/line-sink.js';

/** Keeps the parsed log lines; `isFull` simulates a full buffer. */
export class ListSink extends LineSink {
  readonly lines: Record<string, unknown>[] = [];
  isFull = false;

  override write(line: string): void {
    this.lines.push(JSON.parse(line) as Record<string, unknown>);
  }

  override flushSync(): void {
    // Nothing is buffered.
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }

  protected override hasRoom(): boolean {
    return !this.isFull;
  }
}
