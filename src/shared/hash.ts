/** Hash functions that give the same result in every process. */

/** Computes the 32-bit FNV-1a hash of a string's UTF-16 code units, followed by the finalizer of MurmurHash3. */
export const hash32 = (text: string): number => {
  let hash = 0x81_1C_9D_C5;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01_00_01_93); // eslint-disable-line unicorn/prefer-code-point
  }

  // FNV-1a alone distributes short, similar ids poorly over the high bits, which `admissionHash` depends on.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B);
  hash = Math.imul(hash ^ (hash >>> 13), 0xC2_B2_AE_35);
  return (hash ^ (hash >>> 16)) >>> 0;
};

/** Maps a request id to [0, 1). The result is the same at every hop, so that all hops admit the same requests. */
export const admissionHash = (requestId: string, salt: string): number =>
  hash32(`${salt}/${requestId}`) / 4_294_967_296;

/** Orders candidates by their rendezvous hash (highest random weight) for a key; the first one owns the key. */
export const rendezvousOrder = (key: string, candidates: readonly string[]): string[] =>
  candidates
    .map(candidate => ({candidate, weight: hash32(`${key}/${candidate}`)}))
    .sort((a, b) => b.weight - a.weight || (a.candidate < b.candidate ? -1 : 1))
    .map(({candidate}) => candidate);
