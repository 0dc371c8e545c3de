/** The `note` and `configuration` commands: requests of operators to the source. */
import { readFileSync } from 'node:fs';
import { readNote } from '../../edge/index.js';
import type { NoteAnswer, NotePage, NoteStatus } from '../../messages/index.js';
import { ExitCode } from '../exit-code.js';
import type { CommandInput, CommandOption, Terminal } from './command.js';
import { Command, JSON_OPTION, UsageError } from './command.js';
import { formatPage, formatReceipt, formatRefusal, formatStatus } from './format-note.js';
import type { SourceReply, SourceRequest } from './operator-client.js';
import { createOperatorClient, OPERATOR_OPTIONS } from './operator-client.js';

const NOTE_OPTIONS: Readonly<Record<string, CommandOption>> = {
  ...OPERATOR_OPTIONS,
  json: JSON_OPTION,
};

const REVISION_OPTION: CommandOption = {
  value: 'N',
  help: 'the revision at which you read the note',
};

/**
 * A command that sends one request to the source and prints the answer.
 *
 * Override {@link NoteCommandBase.buildRequest} to build the request, and {@link NoteCommandBase.formatAnswer} to
 * format the answer as text.
 */
abstract class NoteCommandBase extends Command {
  override readonly options: Readonly<Record<string, CommandOption>> = NOTE_OPTIONS;

  override async run(input: CommandInput, terminal: Terminal): Promise<ExitCode> {
    const request = this.buildRequest(input);
    const reply = await createOperatorClient(input).send(request);
    if (reply.kind === 'unanswered') return reportUnanswered(reply, terminal);
    const { status, body } = reply;
    if (input.isSet('json')) terminal.print(JSON.stringify(body));
    if (status !== STATUS_OK) {
      terminal.printError(formatError(body));
      return ExitCode.refused;
    }
    if (!input.isSet('json')) terminal.print(this.formatAnswer(body));
    return this.decideExit(body, terminal);
  }

  /** Builds the request from the arguments. */
  protected abstract buildRequest(input: CommandInput): SourceRequest;

  /** Formats an answer with status 200 as text. */
  protected abstract formatAnswer(body: unknown): string;

  /** Decides the exit code for an answer with status 200. */
  protected decideExit(_body: unknown, _terminal: Terminal): ExitCode {
    return ExitCode.done;
  }
}

/** A command that changes the configuration; the answer is a receipt. */
abstract class ChangeCommand extends NoteCommandBase {
  protected override formatAnswer(body: unknown): string {
    const answer = body as Extract<NoteAnswer, { kind: 'accepted' }>;
    return formatReceipt(answer.receipt);
  }
}

/** Submits a note. */
export class NoteSubmitCommand extends ChangeCommand {
  override readonly name = 'note submit';
  override readonly summary = 'Submits a release note; submitting the same file again is safe.';
  override readonly argument = 'FILE';

  protected override buildRequest(input: CommandInput): SourceRequest {
    const body = readFile(input.readArgument('the file of the note'));
    return { method: 'POST', path: '/notes', body };
  }
}

/** Amends a note. */
export class NoteAmendCommand extends ChangeCommand {
  override readonly name = 'note amend';
  override readonly summary = 'Replaces an accepted note; it keeps its number and its position.';
  override readonly argument = 'FILE';
  override readonly options = { ...NOTE_OPTIONS, revision: REVISION_OPTION };

  protected override buildRequest(input: CommandInput): SourceRequest {
    const body = readFile(input.readArgument('the file of the note'));
    const note = readNote(body);
    if (!note.ok) {
      const lines = note.error.map(({ place, message }) => `  ${place}: ${message}`);
      throw new UsageError(`the file is not a valid note:\n${lines.join('\n')}`);
    }
    const path = `/notes/${note.value.number}?revision=${input.readNumber('revision')}`;
    return { method: 'PUT', path, body };
  }
}

/** Withdraws a note. */
export class NoteWithdrawCommand extends ChangeCommand {
  override readonly name = 'note withdraw';
  override readonly summary = 'Withdraws an accepted note and reverts its effects.';
  override readonly argument = 'NUMBER';
  override readonly options = { ...NOTE_OPTIONS, revision: REVISION_OPTION };

  protected override buildRequest(input: CommandInput): SourceRequest {
    const path = `/notes/${readNoteNumber(input)}?revision=${input.readNumber('revision')}`;
    return { method: 'DELETE', path };
  }
}

/** Replaces the complete configuration. */
export class ConfigurationReplaceCommand extends ChangeCommand {
  override readonly name = 'configuration replace';
  override readonly summary =
    'Replaces the complete configuration, unless it has changed since the base version given in the file.';
  override readonly argument = 'FILE';

  protected override buildRequest(input: CommandInput): SourceRequest {
    const body = readFile(input.readArgument('the file of the configuration'));
    return { method: 'PUT', path: '/configuration', body };
  }
}

/** Shows the newest complete replacement of the configuration. */
export class ConfigurationShowCommand extends NoteCommandBase {
  override readonly name = 'configuration show';
  override readonly summary =
    'Shows the document of the last complete replacement of the configuration.';

  protected override buildRequest(input: CommandInput): SourceRequest {
    input.checkNoArguments();
    return { method: 'GET', path: '/configuration' };
  }

  protected override formatAnswer(body: unknown): string {
    return (body as { readonly document: string }).document;
  }
}

/** Shows one note. */
export class NoteShowCommand extends NoteCommandBase {
  override readonly name = 'note show';
  override readonly summary = 'Shows a note and the number of proxies that hold it.';
  override readonly argument = 'NUMBER';

  protected override buildRequest(input: CommandInput): SourceRequest {
    return { method: 'GET', path: `/notes/${readNoteNumber(input)}` };
  }

  protected override formatAnswer(body: unknown): string {
    return formatStatus(body as NoteStatus);
  }
}

/** Lists the notes. */
export class NoteListCommand extends NoteCommandBase {
  override readonly name = 'note list';
  override readonly summary = 'Lists accepted notes in order of acceptance.';
  override readonly options = {
    ...NOTE_OPTIONS,
    after: { value: 'VERSION', help: 'lists only notes first accepted after this version' },
    limit: { value: 'COUNT', help: 'maximum number of notes (default 100)' },
  };

  protected override buildRequest(input: CommandInput): SourceRequest {
    input.checkNoArguments();
    const query = new URLSearchParams();
    for (const name of ['after', 'limit']) {
      const value = input.findNumber(name);
      if (value !== undefined) query.set(name, String(value));
    }
    return { method: 'GET', path: `/notes?${query.toString()}` };
  }

  protected override formatAnswer(body: unknown): string {
    return formatPage(body as NotePage);
  }
}

/** Waits until a note is in force. */
export class NoteWaitCommand extends NoteCommandBase {
  override readonly name = 'note wait';
  override readonly summary =
    'Waits until every known proxy holds a note; exit code 1 if the time runs out.';
  override readonly argument = 'NUMBER';
  override readonly options = {
    ...NOTE_OPTIONS,
    'wait-ms': { value: 'MS', help: 'maximum wait in milliseconds (default 10000)' },
  };

  protected override buildRequest(input: CommandInput): SourceRequest {
    const waitMs = input.findNumber('wait-ms') ?? DEFAULT_WAIT_MS;
    const path = `/notes/${readNoteNumber(input)}/wait?timeout_ms=${waitMs}`;
    return { method: 'GET', path, waitMs };
  }

  protected override formatAnswer(body: unknown): string {
    return formatStatus(body as NoteStatus);
  }

  protected override decideExit(body: unknown, terminal: Terminal): ExitCode {
    const { inForce, coverage } = body as NoteStatus;
    if (inForce) return ExitCode.done;
    const missing = coverage.known - coverage.holding;
    terminal.printError(
      coverage.known === 0
        ? 'not in force: the source knows of no proxy yet'
        : `not in force: ${missing} of ${coverage.known} proxies do not hold it yet`,
    );
    return ExitCode.refused;
  }
}

// Internals.

const STATUS_OK = 200;
const DEFAULT_WAIT_MS = 10_000;

function reportUnanswered(
  { mayHaveRun, reasons }: Extract<SourceReply, { kind: 'unanswered' }>,
  terminal: Terminal,
): ExitCode {
  for (const reason of reasons) terminal.printError(reason);
  terminal.printError(
    mayHaveRun
      ? 'outcome unknown: no quorum of the source has answered; send the same again, it takes effect once at most'
      : 'nothing was done: no leader of the source could be reached; check the addresses and try again',
  );
  return ExitCode.unknown;
}

/** Formats an answer with a status other than 200. */
function formatError(body: unknown): string {
  if (typeof body !== 'object' || body === null || !('kind' in body)) return String(body);
  if ('message' in body) return `${String(body.kind)}: ${String(body.message)}`;
  return formatRefusal(body as Exclude<NoteAnswer, { kind: 'accepted' }>);
}

function readNoteNumber(input: CommandInput): number {
  const text = input.readArgument('the number of the note');
  if (/^[1-9]\d{0,14}$/.test(text)) return Number(text);
  throw new UsageError(`"${text}" is not a note number: write a whole number from 1`);
}

function readFile(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    throw new UsageError((error as Error).message);
  }
}
