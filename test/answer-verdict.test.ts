/** What heads of answers prove, without sockets. */
import test from 'ava';
import type { AnswerProof } from '../src/calls/index.js';
import { judgeAnswer } from '../src/calls/index.js';

const ANSWER: AnswerProof = { isOwn: true, isSigned: true, statesNotRun: false, isPromise: false };

test('signed answer of the attempt', (t) => {
  t.is(judgeAnswer(ANSWER), 'answer');
});

test('not run: only of the attempt itself', (t) => {
  const shed = { ...ANSWER, isSigned: false, statesNotRun: true, isPromise: true };
  t.is(judgeAnswer(shed), 'not-run');
  t.is(judgeAnswer({ ...shed, isOwn: false }), 'unproven');
  t.is(judgeAnswer({ ...shed, isOwn: false, isSigned: true }), 'unproven');
});

test('promise without the statement that nothing ran', (t) => {
  t.is(judgeAnswer({ ...ANSWER, isPromise: true }), 'unproven');
});

test('answer without a signature', (t) => {
  t.is(judgeAnswer({ ...ANSWER, isSigned: false }), 'unproven');
});
