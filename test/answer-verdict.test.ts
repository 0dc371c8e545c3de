/** Verdicts on heads of answers, without sockets. */
import test from 'ava';
import type { AnswerProof } from '../src/calls/index.js';
import { judgeAnswer } from '../src/calls/index.js';

const ANSWER: AnswerProof = { isOwn: true, isSigned: true, statesNotRun: false, isPromise: false };

test('signed answer with the attempt id: accepted', (t) => {
  t.is(judgeAnswer(ANSWER), 'answer');
});

test('not-run statement: only with the attempt id', (t) => {
  const shed = { ...ANSWER, isSigned: false, statesNotRun: true, isPromise: true };
  t.is(judgeAnswer(shed), 'not-run');
  t.is(judgeAnswer({ ...shed, isOwn: false }), 'unproven');
  t.is(judgeAnswer({ ...shed, isOwn: false, isSigned: true }), 'unproven');
});

test('not-run status without the statement: unproven', (t) => {
  t.is(judgeAnswer({ ...ANSWER, isPromise: true }), 'unproven');
});

test('answer without a signature: unproven', (t) => {
  t.is(judgeAnswer({ ...ANSWER, isSigned: false }), 'unproven');
});
