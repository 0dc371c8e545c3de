/** A sink that keeps the lines of a log. */
import { LineSink } from '../src/program/line-sink.js';

/** Keeps what it is given, and has no room while a test says so. */
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
