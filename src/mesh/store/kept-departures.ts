/** Confirms that the store holds the departures of the local backend server. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Registration} from './registration.js';

/** Longest time that a backend server waits for the confirmation of its leaving, in milliseconds; it takes none after a second, and asks again. */
const CONFIRMATION_MS = 800;

/** Whether the store holds all departures, now or shortly. */
export const areDeparturesKept = async (registration: Pick<Registration, 'whenKept'>): Promise<boolean> => {
  const kept = (async () => {
    await registration.whenKept();
    return true;
  })();
  const late = (async () => {
    await sleep(CONFIRMATION_MS);
    return false;
  })();
  return Promise.race([kept, late]);
};
