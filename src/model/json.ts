/** A value that can be encoded as JSON. */
export type Json =
  null | boolean | number | string | readonly Json[] | { readonly [key: string]: Json };
