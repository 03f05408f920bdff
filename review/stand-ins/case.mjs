/** Runs a case: writes record.txt, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {CannotRun} from './deployment.mjs';

const LIMIT_MS = 115_000;

/** `run` gets {record, hasTrouble} and returns {broken, summary}. */
export const runCase = async (folder, run) => {
  const startedAt = performance.now();
  const lines = [];
  const record = (event, fields = {}) => {
    lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${event} ${JSON.stringify(fields)}`);
  };

  const finish = code => {
    writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
    process.exit(code); // eslint-disable-line unicorn/no-process-exit
  };

  const cleanups = [];
  const cleanUp = async () => {
    for (const clean of cleanups.splice(0).reverse()) {
      await clean(); // eslint-disable-line no-await-in-loop
    }
  };

  const timer = setTimeout(async () => {
    record('the case took too long');
    console.log('the case took too long');
    await cleanUp();
    finish(2);
  }, LIMIT_MS);
  for (const signal of ['SIGINT', 'SIGTERM']) {
    process.on(signal, async () => {
      await cleanUp();
      finish(2);
    });
  }

  let code = 2;
  try {
    const {broken, summary} = await run({
      record,
      hasTrouble: process.env.TROUBLE !== '0',
      onEnd(clean) {
        cleanups.push(clean);
      },
    });
    record('verdict', {broken, ...summary});
    console.log(JSON.stringify({broken, ...summary}, undefined, 2));
    code = broken ? 1 : 0;
  } catch (error) {
    record('could not run', {cause: error.stack});
    console.log(error instanceof CannotRun ? error.message : error.stack);
  }

  clearTimeout(timer);
  await cleanUp();
  finish(code);
};
