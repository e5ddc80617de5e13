/** A value that JSON can carry. */
export type Json =
  null | boolean | number | string | readonly Json[] | { readonly [key: string]: Json };
