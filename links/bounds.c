#include "bounds.h"

#include <stdint.h>

/* Decoded header of a MessagePack object. */
typedef struct header {
	size_t size;	   /* of the header, with its length field or plain value */
	uint64_t bytes;	   /* of data that follow the header */
	uint64_t elements; /* objects that follow the header as parts of this one */
} header_t;

/* Read a number in big-endian byte order, the byte order of MessagePack. */
static uint64_t read_big_endian(const uint8_t *at, size_t size)
{
	uint64_t number = 0;

	for (size_t i = 0; i < size; i++)
		number = number << 8 | at[i];
	return number;
}

typedef enum { CONTENT_NONE, CONTENT_BYTES, CONTENT_ARRAY, CONTENT_MAP } content_t;

/*
 * MessagePack formats whose first byte is 0xc0 to 0xdf, indexed by the lower five bits of that
 * byte. The unused byte 0xc1 counts as an object without content.
 */
static const struct {
	uint8_t length_size; /* bytes of the length field, or of the plain value */
	uint8_t extra_size;  /* bytes of the extension type that follows the length field */
	content_t content_type;
} formats[] = {
	[0x00] = {0, 0, CONTENT_NONE},	/* nil */
	[0x02] = {0, 0, CONTENT_NONE},	/* false */
	[0x03] = {0, 0, CONTENT_NONE},	/* true */
	[0x04] = {1, 0, CONTENT_BYTES}, /* bin 8 */
	[0x05] = {2, 0, CONTENT_BYTES}, /* bin 16 */
	[0x06] = {4, 0, CONTENT_BYTES}, /* bin 32 */
	[0x07] = {1, 1, CONTENT_BYTES}, /* ext 8 */
	[0x08] = {2, 1, CONTENT_BYTES}, /* ext 16 */
	[0x09] = {4, 1, CONTENT_BYTES}, /* ext 32 */
	[0x0a] = {4, 0, CONTENT_NONE},	/* float 32 */
	[0x0b] = {8, 0, CONTENT_NONE},	/* float 64 */
	[0x0c] = {1, 0, CONTENT_NONE},	/* uint 8 */
	[0x0d] = {2, 0, CONTENT_NONE},	/* uint 16 */
	[0x0e] = {4, 0, CONTENT_NONE},	/* uint 32 */
	[0x0f] = {8, 0, CONTENT_NONE},	/* uint 64 */
	[0x10] = {1, 0, CONTENT_NONE},	/* int 8 */
	[0x11] = {2, 0, CONTENT_NONE},	/* int 16 */
	[0x12] = {4, 0, CONTENT_NONE},	/* int 32 */
	[0x13] = {8, 0, CONTENT_NONE},	/* int 64 */
	[0x14] = {2, 0, CONTENT_NONE},	/* fixext 1 */
	[0x15] = {3, 0, CONTENT_NONE},	/* fixext 2 */
	[0x16] = {5, 0, CONTENT_NONE},	/* fixext 4 */
	[0x17] = {9, 0, CONTENT_NONE},	/* fixext 8 */
	[0x18] = {17, 0, CONTENT_NONE}, /* fixext 16 */
	[0x19] = {1, 0, CONTENT_BYTES}, /* str 8 */
	[0x1a] = {2, 0, CONTENT_BYTES}, /* str 16 */
	[0x1b] = {4, 0, CONTENT_BYTES}, /* str 32 */
	[0x1c] = {2, 0, CONTENT_ARRAY}, /* array 16 */
	[0x1d] = {4, 0, CONTENT_ARRAY}, /* array 32 */
	[0x1e] = {2, 0, CONTENT_MAP},	/* map 16 */
	[0x1f] = {4, 0, CONTENT_MAP},	/* map 32 */
};

/* Read a header whose first byte is 0xc0 to 0xdf; false if the header is truncated. */
static bool read_prefixed_header(const uint8_t *at, size_t len, header_t *header)
{
	uint8_t index = (uint8_t)(at[0] - 0xc0);
	uint64_t number;

	*header = (header_t){.size = 1 + formats[index].length_size + formats[index].extra_size};
	if (header->size > len)
		return false;
	if (formats[index].content_type == CONTENT_NONE)
		return true;
	number = read_big_endian(at + 1, formats[index].length_size);
	if (formats[index].content_type == CONTENT_BYTES)
		header->bytes = number;
	else
		header->elements = formats[index].content_type == CONTENT_MAP ? 2 * number : number;
	return true;
}

static bool read_header(const uint8_t *at, size_t len, header_t *header)
{
	if (at[0] >= 0xc0 && at[0] <= 0xdf)
		return read_prefixed_header(at, len, header);
	*header = (header_t){.size = 1};
	if (at[0] >= 0xa0 && at[0] <= 0xbf)
		header->bytes = at[0] & 0x1f;
	else if (at[0] >= 0x90 && at[0] <= 0x9f)
		header->elements = at[0] & 0x0f;
	else if (at[0] >= 0x80 && at[0] <= 0x8f)
		header->elements = 2 * (uint64_t)(at[0] & 0x0f);
	return true;
}

bool bounds_are_valid(const void *data, size_t len)
{
	const uint8_t *at = data;
	uint64_t objects_left = 1; /* objects not read yet, each of one byte or more */

	while (objects_left > 0) {
		header_t header;

		if (objects_left > len || !read_header(at, len, &header))
			return false;
		len -= header.size;
		at += header.size;
		if (header.bytes > len)
			return false;
		len -= header.bytes;
		at += header.bytes;
		objects_left += header.elements;
		objects_left--;
	}
	return true;
}
