package web

import "sync"

// bufferPool reuses the buffers through which answers are streamed.
type bufferPool struct{ pool sync.Pool }

var buffers bufferPool

func (p *bufferPool) get() *[]byte {
	if b, ok := p.pool.Get().(*[]byte); ok {
		return b
	}
	b := make([]byte, copyBufferBytes)
	return &b
}

func (p *bufferPool) put(b *[]byte) { p.pool.Put(b) }
