/** Verdicts on heads of answers, without sockets. */
import test from 'ava';
import type { AnswerEvidence } from '../src/calls/index.js';
import { judgeAnswer } from '../src/calls/index.js';

const ANSWER: AnswerEvidence = {
  hasAttemptId: true,
  isSigned: true,
  statesNotRun: false,
  impliesNotRun: false,
};

test('signed answer with the attempt id: accepted', (t) => {
  t.is(judgeAnswer(ANSWER), 'answer');
});

test('not-run statement: only with the attempt id', (t) => {
  const shed = { ...ANSWER, isSigned: false, statesNotRun: true, impliesNotRun: true };
  t.is(judgeAnswer(shed), 'not-run');
  t.is(judgeAnswer({ ...shed, hasAttemptId: false }), 'unproven');
  t.is(judgeAnswer({ ...shed, hasAttemptId: false, isSigned: true }), 'unproven');
});

test('not-run status without the statement: unproven', (t) => {
  t.is(judgeAnswer({ ...ANSWER, impliesNotRun: true }), 'unproven');
});

test('answer without a signature: unproven', (t) => {
  t.is(judgeAnswer({ ...ANSWER, isSigned: false }), 'unproven');
});
