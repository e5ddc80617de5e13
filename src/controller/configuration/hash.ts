const offsetBasis = 0x811c9dc5;
const prime = 0x01000193;

/** Hashes a text to 32 bits: FNV-1a with a final mix, so that similar names spread. */
export function hashText(text: string): number {
  let hash = offsetBasis;
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), prime);
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
