/** What the readiness endpoint reports of its answers. */
import type { Server } from 'node:http';
import { connect } from 'node:net';
import test from 'ava';
import { request } from 'undici';
import { findFreeAddress, waitFor } from '../bench/mesh.js';
import type { ReadinessAnswer, ReadyTaskOptions } from '../src/edge/index.js';
import { ReadyTask } from '../src/edge/index.js';
import type { Address } from '../src/ids.js';
import { splitAddress } from '../src/ids.js';
import { MetricsRegistry } from '../src/metrics/index.js';
import type { LogFields } from '../src/program/logger.js';
import { ReadinessAnswers } from '../src/program/readiness-answers.js';
import { ManualClock } from './manual-clock.js';

/** Tells when it has accepted a connection. */
class WatchedReadyTask extends ReadyTask {
  readonly accepted: Promise<void>;
  #notifyAccepted: () => void = () => undefined;

  constructor(options: ReadyTaskOptions) {
    super(options);
    this.accepted = new Promise((resolve) => {
      this.#notifyAccepted = resolve;
    });
  }

  protected override prepareServer(server: Server): void {
    super.prepareServer(server);
    server.once('connection', () => {
      this.#notifyAccepted();
    });
  }
}

async function startTask(t: { teardown: (end: () => Promise<void>) => void }) {
  const answers: ReadinessAnswer[] = [];
  const address = (await findFreeAddress()) as Address;
  const clock = new ManualClock();
  const task = new WatchedReadyTask({
    address,
    clock,
    reportFailure: (_task, error) => {
      throw error;
    },
    notifyAnswered: (answer) => {
      answers.push(answer);
    },
  });
  await task.start();
  t.teardown(() => task.stop());
  return { address, answers, clock, task };
}

function startAnswers() {
  const lines: LogFields[] = [];
  const registry = new MetricsRegistry();
  const answers = new ReadinessAnswers((_event, fields) => {
    lines.push(typeof fields === 'function' ? fields() : (fields ?? {}));
  }, registry);
  return { answers, lines, registry };
}

test('answers: status and time are reported', async (t) => {
  const { address, answers, task } = await startTask(t);
  for (const isReady of [false, true]) {
    task.post({ kind: 'ready', isReady });
    const { body } = await request(`http://${address}/readyz`);
    await body.dump();
  }
  await waitFor('both answers', () => answers.length === 2 || undefined);
  t.deepEqual(answers, [
    { status: 503, isSent: true, milliseconds: 0 },
    { status: 200, isSent: true, milliseconds: 0 },
  ]);
});

test('slow request: time since the accept', async (t) => {
  const { address, answers, clock, task } = await startTask(t);
  const { host, port } = splitAddress(address);
  const socket = connect(port, host);
  t.teardown(() => {
    socket.destroy();
    return Promise.resolve();
  });
  await task.accepted;
  clock.advance(400);
  socket.write('GET /readyz HTTP/1.1\r\nHost: proxy\r\n\r\n');
  await waitFor('the answer', () => answers.length === 1 || undefined);
  t.is(answers[0]?.milliseconds, 400);
});

test('log: changes, slow and unsent answers only', (t) => {
  const { answers, lines } = startAnswers();
  const sent = { status: 200, isSent: true, milliseconds: 1 };
  const reported = [
    sent,
    { ...sent, milliseconds: 400 },
    { ...sent, isSent: false },
    { ...sent, status: 503 },
  ];
  for (const answer of reported) {
    answers.handle(answer);
    answers.handle({ ...answer, isSent: true, milliseconds: 1 });
  }
  t.deepEqual(
    lines,
    reported.map(({ milliseconds, ...line }) => ({ ...line, ms: milliseconds })),
  );
});

test('metrics: answers by status', (t) => {
  const { answers, registry } = startAnswers();
  answers.handle({ status: 503, isSent: true, milliseconds: 2 });
  answers.handle({ status: 503, isSent: false, milliseconds: 2 });
  const text = registry.formatText();
  t.regex(text, /readiness_answers_total\{sent="true",status="503"\} 1/);
  t.regex(text, /readiness_answers_total\{sent="false",status="503"\} 1/);
});
