/** Guards against addresses for which `connect` throws, and against refusing usable ones. */
import {connect} from 'node:net';
import test from 'ava';
import {isAddress, splitAddress} from '../address.js';

const cases: Array<[address: string, isUsable: boolean]> = [
  ['127.0.0.1:1', true],
  ['10.1.0.8:65535', true],
  ['::1:80', true],
  ['127.0.0.1:0', false],
  ['127.0.0.1:65536', false],
  ['127.0.0.1:', false],
  ['127.0.0.1: 80', false],
  ['127.0.0.1:8e1', false],
  ['127.0.0.1:-1', false],
  ['127.0.0.1', false],
  ['300.0.0.1:80', false],
  [':80', false],
  ['', false],
  ['\uFFFD\uFFFD\u0001', false],
];

for (const [address, isUsable] of cases) {
  test(`${JSON.stringify(address)} is ${isUsable ? 'an address' : 'no address'}`, t => {
    t.is(isAddress(address), isUsable);
    if (isUsable) {
      t.notThrows(() => {
        connect(splitAddress(address)).on('error', () => undefined).destroy();
      });
    }
  });
}
