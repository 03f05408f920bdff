/** Hashes that every process computes alike. */

/** 32-bit FNV-1a hash of a string's UTF-16 code units, finished by a mixing step. */
export const hash32 = (text: string): number => {
  let hash = 0x81_1C_9D_C5;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01_00_01_93); // eslint-disable-line unicorn/prefer-code-point
  }

  // FNV alone spreads short, similar ids poorly over the high bits, which the admission admissionHash uses.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B);
  hash = Math.imul(hash ^ (hash >>> 13), 0xC2_B2_AE_35);
  return (hash ^ (hash >>> 16)) >>> 0;
};

/** Maps a request id to [0, 1); equal at every hop, so that all hops admit the same requests. */
export const admissionHash = (requestId: string, salt: string): number =>
  hash32(`${salt}/${requestId}`) / 4_294_967_296;

/** Orders candidates by rendezvous hash of a key; the first one is the owner. */
export const rendezvousOrder = (key: string, candidates: readonly string[]): string[] =>
  candidates
    .map(candidate => ({candidate, weight: hash32(`${key}/${candidate}`)}))
    .sort((a, b) => b.weight - a.weight || (a.candidate < b.candidate ? -1 : 1))
    .map(({candidate}) => candidate);
