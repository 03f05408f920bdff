/** Bounds the wait for a permit by the deadline of its request. */
import type {Permit} from './workspace-rate-limiter.js';

const giveBackWhenGranted = async (acquired: Promise<Permit>): Promise<void> => {
  const permit = await acquired;
  if (permit.kind === 'granted') {
    permit.giveBack();
  }
};

/** Waits for a permit until the deadline of its request; a permit that arrives later is given back. */
export const permitByDeadline = async (acquired: Promise<Permit>, remainingMs: number): Promise<Permit | 'late'> => {
  let timer: NodeJS.Timeout | undefined;
  const deadline = new Promise<'late'>(resolve => {
    timer = setTimeout(resolve, remainingMs, 'late');
  });
  try {
    const permit = await Promise.race([acquired, deadline]);
    if (permit === 'late') {
      void giveBackWhenGranted(acquired);
    }

    return permit;
  } finally {
    clearTimeout(timer);
  }
};
