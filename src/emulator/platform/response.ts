/** Responses of the emulated object API. */
import type {ServerResponse} from 'node:http';
import {VALUE_MAX_BYTES, type StoreError} from './store.js';

/** Sends a JSON body, unless the connection is closed. */
export const send = (response: ServerResponse, status: number, body: unknown): void => {
  if (!response.destroyed) {
    response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify(body));
  }
};

/** Sends the error of a write. */
export const sendStoreError = (response: ServerResponse, error: StoreError): void => {
  switch (error.kind) {
    case 'conflict': {
      send(response, 409, {message: 'the condition does not hold; read the object and decide again', current: error.current ?? null});
      break;
    }

    case 'too-large': {
      send(response, 413, {message: `the value has ${error.bytes} bytes; at most ${VALUE_MAX_BYTES} are stored`});
      break;
    }
  }
};
