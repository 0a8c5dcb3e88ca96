package io.mustardusher.call;

import java.util.Collection;

import com.linecorp.armeria.common.HttpData;

/** Parts of a body that have arrived one after the other. */
public final class BodyParts {

    private BodyParts() {}

    /**
     * Joins the parts of a body.
     *
     * @param parts the parts, in their order
     * @return the whole body; not a copy if there is only one part
     */
    public static HttpData join(Collection<HttpData> parts) {
        if (parts.size() == 1) {
            return parts.iterator().next();
        }
        int length = parts.stream().mapToInt(HttpData::length).sum();
        byte[] bytes = new byte[length];
        int offset = 0;
        for (HttpData part : parts) {
            System.arraycopy(part.array(), 0, bytes, offset, part.length());
            offset += part.length();
        }
        return HttpData.wrap(bytes);
    }
}
