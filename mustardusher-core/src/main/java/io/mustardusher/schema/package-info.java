/** Documents checked against the schemas from which the generated types come. */
package io.mustardusher.schema;
